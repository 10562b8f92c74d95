package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

const (
	soakEntries = 4
	soakRunners = 4
	// soakFaults is how many faults a seed brings, one after the other.
	soakFaults = 8
	soakRevoke = 3 * time.Second
)

// soak is a small deployment of entry processes, with a stand-in for the platform.
type soak struct {
	t      *testing.T
	random *rand.Rand
	store  *platform.Store
	cloud  *platform.Cloud
	runs   platform.Runs
	folder string
	// given are the addresses of the entries.
	given     map[string]bool
	fronts    []string
	peers     []string
	processes []*process.Process
	runners   []*platform.Runner
	started   int
	version   int
	// revoked is when the second key was taken away, in nanoseconds since 1970.
	revoked atomic.Int64
	// attempts numbers the calls; calls are those that may be served, and served those that were.
	attempts atomic.Int64
	calls    atomic.Int64
	served   atomic.Int64
	faults   chan string
}

// Guards the promises of the entries through faults from outside, drawn from a seed: kills, stops,
// freezes, crashing runners, a store that is away or loses answers, and new configurations.
// ROSEMARYSPAR_SOAK_SEEDS gives the number of seeds, 1 if it is not set. Time is real, since the
// entries are processes of their own.
func TestSoakOfTheNodeProcesses(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("ROSEMARYSPAR_SOAK_SEEDS"))
	if err != nil {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { newSoak(t, uint64(seed)).run() })
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	soak := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: platform.NewStore(), cloud: platform.NewCloud(),
		runs: platform.NewRuns(), folder: t.TempDir(), given: map[string]bool{}, faults: make(chan string, 1000),
	}
	t.Cleanup(soak.store.Close)
	t.Cleanup(soak.cloud.Close)
	soak.configure("k1", "k2")
	soak.runners = make([]*platform.Runner, soakRunners)
	for i := range soak.runners {
		soak.startRunner(i)
	}
	for range soakEntries {
		soak.fronts, soak.peers = append(soak.fronts, soak.address()), append(soak.peers, soak.address())
	}
	soak.processes = make([]*process.Process, soakEntries)
	for i := range soak.processes {
		soak.start(i)
	}
	t.Cleanup(func() {
		for _, process := range soak.processes {
			process.Kill()
		}
		for _, runner := range soak.runners {
			runner.Crash()
		}
	})
	return soak
}

// run sends calls while faults come, then checks that all is well again. Its pauses are real
// time, since the entries are processes of their own.
func (soak *soak) run() {
	ctx, stop := context.WithCancel(soak.t.Context())
	var callers sync.WaitGroup
	time.Sleep(time.Second)
	for i := range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				soak.call(i)
			}
		})
	}
	for range soakFaults {
		soak.fault()
		time.Sleep(time.Duration(100+soak.random.IntN(400)) * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	calls, served := soak.calls.Load(), soak.served.Load()
	time.Sleep(2 * time.Second)
	calls, served = soak.calls.Load()-calls, soak.served.Load()-served
	stop()
	callers.Wait()
	close(soak.faults)
	for fault := range soak.faults {
		soak.t.Error(fault)
	}
	assert.Greater(soak.t, calls, int64(100))
	assert.GreaterOrEqual(soak.t, float64(served), 0.95*float64(calls), "of the calls after the faults")
	assert.Empty(soak.t, soak.cloud.Faults())
}

// fault brings one fault about and ends it.
func (soak *soak) fault() {
	at, span := soak.random.IntN(soakEntries), time.Duration(300+soak.random.IntN(1200))*time.Millisecond
	switch soak.random.IntN(8) {
	case 0:
		soak.processes[at].Kill()
		soak.start(at)
	case 1:
		require.NoError(soak.t, soak.processes[at].Signal(syscall.SIGTERM))
		<-soak.processes[at].Ended()
		soak.start(at)
	case 2:
		require.NoError(soak.t, soak.processes[at].Signal(syscall.SIGSTOP))
		time.Sleep(2 * span)
		require.NoError(soak.t, soak.processes[at].Signal(syscall.SIGCONT))
	case 3:
		soak.store.SetAway(true)
		time.Sleep(span)
		soak.store.SetAway(false)
	case 4:
		soak.store.SetLossy(true)
		soak.processes[at].Kill()
		time.Sleep(span)
		soak.start(at)
		soak.store.SetLossy(false)
	case 5:
		soak.runners[at].Crash()
		time.Sleep(span)
		soak.store.Delete("servers/" + soak.runners[at].ID())
		soak.startRunner(at)
	case 6:
		soak.configure("k1")
		soak.revoked.CompareAndSwap(0, time.Now().UnixNano())
	case 7:
		require.NoError(soak.t, soak.processes[at].Signal(syscall.SIGHUP))
	}
}

// call sends one attempt and checks its answer.
func (soak *soak) call(caller int) {
	attempt := fmt.Sprintf("%d-%d", caller, soak.attempts.Add(1))
	path := []string{"/order/", "/stock/", "/stream/"}[caller%3] + "x"
	key := "k1"
	if caller == 7 {
		key = "k2"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+soak.fronts[rand.IntN(soakEntries)]+path, strings.NewReader("body"))
	require.NoError(soak.t, err)
	request.Host = "soak.example"
	request.Header.Set("X-Rosemaryspar-Attempt-Id", attempt)
	request.Header.Set("X-Rosemaryspar-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Bearer "+key)
	sent := time.Now()
	status, body, err := send(request)
	revoked := soak.revoked.Load()
	late := key == "k2" && revoked > 0 && sent.Sub(time.Unix(0, revoked)) > soakRevoke
	if key == "k1" || revoked == 0 {
		soak.calls.Add(1)
	}
	ran := soak.runs.Count(attempt)
	switch {
	case err == nil && status == http.StatusOK && body != platform.Body(path, attempt):
		soak.faults <- fmt.Sprintf("%s %s: the answer is %q", path, attempt, body)
	case err == nil && status == http.StatusOK && (key == "k1" || revoked == 0):
		soak.served.Add(1)
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && ran > 0:
		soak.faults <- fmt.Sprintf("%s %s: refused with %d and ran", path, attempt, status)
	case status == http.StatusUnauthorized && key == "k1":
		soak.faults <- fmt.Sprintf("%s %s: a valid key was refused", path, attempt)
	}
	if strings.HasPrefix(path, "/order/") && ran > 1 {
		soak.faults <- fmt.Sprintf("%s %s: ran %d times", path, attempt, ran)
	}
	if late && ran > 0 {
		soak.faults <- fmt.Sprintf("%s %s: ran with a key that was taken away", path, attempt)
	}
	if status != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
}

// send returns the status, and the body of a complete answer.
func send(request *http.Request) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// configure writes a configuration with one account that has the keys.
func (soak *soak) configure(keys ...string) {
	soak.version += 1 + soak.random.IntN(3)
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": "soak.example", "Prefix": "/" + name + "/", "RouteType": kind, "Service": "s",
			"TimeoutMs": 3000, "Attempts": attempts, "StreamResume": resume,
		}
	}
	value, err := json.Marshal(map[string]any{
		"Version":  soak.version,
		"Routes":   []any{route("order", "non_idempotent", 1, false), route("stock", "idempotent", 3, false), route("stream", "streaming", 3, true)},
		"Services": []any{map[string]any{"Name": "s"}},
		"Tenants":  []any{map[string]any{"Name": "desk", "ApiKeys": keys}},
	})
	require.NoError(soak.t, err)
	soak.store.Put("op/config", value)
}

func (soak *soak) startRunner(at int) {
	soak.started++
	soak.runners[at] = platform.NewRunner(fmt.Sprint("i-", soak.started), soak.runs)
	soak.store.Put("servers/"+soak.runners[at].ID(), soak.runners[at].Item("s", "a", "ready"))
}

// start starts an entry, again at its addresses.
func (soak *soak) start(at int) {
	name := fmt.Sprint("front-", at)
	settings := map[string]any{
		"NodeName": name, "Zone": "a", "Region": "r", "Zones": map[string]string{"a": "r"}, "Seeds": soak.peers[:2],
		"Listen":   map[string]string{"Front": soak.fronts[at], "Ready": soak.address(), "Control": soak.peers[at]},
		"Bounds":   map[string]any{"GraceS": 5, "RevokeMs": soakRevoke.Milliseconds(), "LeaseMs": 2000, "BudgetSlack": 1000, "UsageWindowS": 1, "UsageLateS": 6},
		"Provider": map[string]string{"Address": soak.store.Address()},
		"Cloud":    map[string]any{"Address": soak.cloud.Address(), "Duties": []string{"usage_report"}},
	}
	content, err := json.Marshal(settings)
	require.NoError(soak.t, err)
	path := filepath.Join(soak.folder, name+".json")
	require.NoError(soak.t, os.WriteFile(path, content, 0o600))
	soak.processes[at], err = programs.Start("rosemaryspar", "node", "--settings", path, "--log-level", "info")
	require.NoError(soak.t, err)
}

// Ports that the kernel gives to nobody who does not name one.
const (
	firstPort = 12000
	lastPort  = 32000
)

// address returns an address at which nobody listens, and that no other entry has. An entry that is
// not running leaves its addresses free.
func (soak *soak) address() string {
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort))
		if soak.given[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(soak.t, listener.Close())
		soak.given[address] = true
		return address
	}
	require.Fail(soak.t, "no free port")
	return ""
}
