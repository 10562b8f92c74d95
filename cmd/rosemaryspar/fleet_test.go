package main_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	// The programs run as separate processes, which the test cache does not track. Without these
	// imports, a test would report a cached result after a change of the programs.
	_ "github.com/rosemaryspar/rosemaryspar/internal/command/cli"
	_ "github.com/rosemaryspar/rosemaryspar/internal/command/standin"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

const (
	operatorKey = "operator-key"
	callerKey   = "caller-key"
)

var domains = []string{"quimper", "vannes", "morlaix"}

// fleet consists of entries, a key-value service and backend servers, each a separate process.
type fleet struct {
	programs process.Programs
	store    *process.Process
	entries  []*process.Process
	engines  []*process.Process
	services []*process.Process
}

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "rosemaryspar")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs, err = process.Build(context.Background(), folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// programs are the built programs, shared by all tests of the package.
var programs process.Programs

// layout describes a fleet; zero values mean the defaults.
type layout struct {
	// engines is the number of engines, 2 by default; engineFlags are added to the command line of each.
	engines     int
	engineFlags []string
	// operationTime is the duration of one operation of the plain service, 10 ms by default.
	operationTime time.Duration
	// orderTimeout is the timeout of the deposit service, 4 s by default.
	orderTimeout time.Duration
}

// newFleet starts the processes, with three entries, and waits until a configuration is in force at all entries.
func newFleet(t *testing.T, layout layout) *fleet {
	t.Helper()
	t.Parallel()
	layout.engines = cmp.Or(layout.engines, 2)
	layout.operationTime = cmp.Or(layout.operationTime, 10*time.Millisecond)
	layout.orderTimeout = cmp.Or(layout.orderTimeout, 4*time.Second)
	fleet := &fleet{programs: programs}
	fleet.store = fleet.start(t, "standin", "kv")
	for i := range layout.engines {
		flags := append([]string{"engine", "--name", fmt.Sprintf("engine-%d", i)}, layout.engineFlags...)
		fleet.engines = append(fleet.engines, fleet.start(t, "standin", flags...))
	}
	fleet.services = append(fleet.services, fleet.start(t, "standin", "service", "--operation", layout.operationTime.String()))
	for range domains {
		fleet.addEntry(t)
	}
	fleet.apply(t, layout.orderTimeout)
	return fleet
}

// start starts a program, which is killed at the end of the test.
func (fleet *fleet) start(t *testing.T, program string, arguments ...string) *process.Process {
	t.Helper()
	started, err := fleet.programs.Start(program, arguments...)
	require.NoError(t, err)
	t.Cleanup(started.Kill)
	return started
}

// addEntry starts an entry; every entry but the first is configured with the first one as a peer.
func (fleet *fleet) addEntry(t *testing.T) *process.Process {
	t.Helper()
	number := len(fleet.entries)
	arguments := []string{
		"serve", "--name", entryName(number), "--domain", domains[number%len(domains)],
		"--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0",
		"--kv-addresses", fleet.store.Addresses["Address"], "--operators", "ops=" + hash(operatorKey),
		"--stop-delay", "100ms", "--stop-timeout", "20s",
	}
	if number > 0 {
		arguments = append(arguments, "--peers", "entry-0="+fleet.entries[0].Addresses["PeerAddress"])
	}
	entry := fleet.start(t, "rosemaryspar", arguments...)
	fleet.entries = append(fleet.entries, entry)
	return entry
}

// apply commits the fleet's configuration with the command config apply and waits until it is in force at all
// entries.
func (fleet *fleet) apply(t *testing.T, orderTimeout time.Duration) {
	t.Helper()
	change := config.Change{
		Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: hash(callerKey), Weight: 1}},
		Services: []config.Service{
			{Name: "assistant", Protocol: config.ProtocolEngine, Repeat: config.RepeatIdempotent, Selector: "role=assistant", TimeoutMs: 30_000},
			{Name: "stock", Protocol: config.ProtocolPlain, Repeat: config.RepeatIdempotent, Selector: "role=orders", TimeoutMs: 10_000},
			{Name: "deposit", Protocol: config.ProtocolPlain, Repeat: config.RepeatNever, Selector: "role=orders", StatusPath: "/status", TimeoutMs: int(orderTimeout.Milliseconds())},
		},
	}
	addBackends := func(role string, servers []*process.Process) {
		for i, server := range servers {
			change.Backends = append(change.Backends, config.Backend{
				Name: fmt.Sprintf("%s-%d", role, i), Address: server.Addresses["Address"], Domain: domains[i%len(domains)],
				Slots: 8, Labels: map[string]string{"role": role},
			})
		}
	}
	addBackends("assistant", fleet.engines)
	addBackends("orders", fleet.services)
	encoded, err := document.Encode(change.WithID("first"))
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "change.json")
	require.NoError(t, os.WriteFile(file, encoded, 0o600))
	fleet.command(t, 0, "config", "apply", file)
	// Entries discover each other in their first exchanges; before that, config wait would cover only one entry.
	require.Eventually(t, func() bool {
		return strings.Count(fleet.command(t, 0, "entries"), "\nentry-") == len(fleet.entries)
	}, 15*time.Second, 100*time.Millisecond)
	fleet.command(t, 0, "config", "wait", "1")
}

// command runs an operator command against an entry, which must succeed, and returns its output.
func (fleet *fleet) command(t *testing.T, entry int, arguments ...string) string {
	t.Helper()
	output, code := fleet.tryCommand(t, entry, arguments...)
	require.Zero(t, code, output)
	return output
}

// tryCommand runs an operator command against an entry and returns its output and exit code.
func (fleet *fleet) tryCommand(t *testing.T, entry int, arguments ...string) (output string, code int) {
	t.Helper()
	arguments = append(arguments, "--address", fleet.entries[entry].Addresses["OperatorAddress"], "--key", operatorKey)
	output, code, err := fleet.programs.Run(t.Context(), "rosemaryspar", arguments...)
	require.NoError(t, err)
	return output, code
}

// answer is the answer that a caller received; ran is the value of X-Ran.
type answer struct {
	status int
	ran    string
	body   []byte
}

// send sends a request to an entry and reads the complete answer. A key other than "" is its idempotency key.
func (fleet *fleet) send(t *testing.T, entry int, path, body, key string) answer {
	t.Helper()
	got, err := fleet.trySend(t.Context(), entry, path, body, key)
	require.NoError(t, err)
	return got
}

// trySend sends a request like [fleet.send], but returns an error if there is no complete answer.
func (fleet *fleet) trySend(ctx context.Context, entry int, path, body, key string) (answer, error) {
	response, err := fleet.open(ctx, entry, path, body, key)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, ran: response.Header.Get("X-Ran"), body: text}, err
}

// open sends a request like [fleet.send] and returns the response, whose body the caller reads and closes.
func (fleet *fleet) open(ctx context.Context, entry int, path, body, key string) (*http.Response, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.entries[entry].Addresses["CallerAddress"]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	outgoing.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		outgoing.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(outgoing)
}

// streamText returns the text of a streamed answer; ended reports whether the answer has its end marker.
func streamText(t *testing.T, body []byte) (text string, ended bool) {
	t.Helper()
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == openai.Done {
			return text, true
		}
		chunk, err := openai.DecodeChunk([]byte(data))
		require.NoError(t, err, data)
		text += chunk.Text
	}
	return text, false
}

// answerText returns the text of an answer that is not streamed.
func answerText(t *testing.T, body []byte) string {
	t.Helper()
	var completion openai.Answer
	require.NoError(t, json.Unmarshal(body, &completion), string(body))
	require.Len(t, completion.Choices, 1)
	require.NotNil(t, completion.Choices[0].Text)
	return *completion.Choices[0].Text
}

// runCount returns how often the deposit service ran the order with a key, as a decimal number.
func (fleet *fleet) runCount(t *testing.T, key string) string {
	t.Helper()
	response, err := http.Get("http://" + fleet.services[0].Addresses["Address"] + "/runs?key=desk/" + key)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

func entryName(number int) string { return fmt.Sprintf("entry-%d", number) }

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// completionBody returns the body of a completion request to the assistant service.
func completionBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"assistant","prompt":%q,"stream":%t}`, prompt, stream)
}

func assertOK(t *testing.T, answer answer) {
	t.Helper()
	assert.Equal(t, http.StatusOK, answer.status, string(answer.body))
}
