package engine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// entry is the part of the request path from the retries to the engines. It is also its own source of random numbers, which are 0.
type entry struct {
	view     request.View
	suspects request.Suspects
	path     request.Handler
}

func newEntry(t *testing.T, backends []config.Backend) *entry {
	t.Helper()
	set := config.Set{}.WithChange(config.Change{
		Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}},
		Services: []config.Service{{Name: "menu", Protocol: config.ProtocolEngine, TimeoutMs: 5000}},
		Backends: backends,
	})
	fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
	require.NoError(t, err)
	entry := &entry{view: request.View{Config: set, Fleet: fleet}, suspects: request.NewSuspects()}
	retryStates := request.NewRetryStates()
	entry.path = request.Chain(request.Dispatch(engine.New(time.Second), service.New(time.Second)), request.Identify(entry),
		request.Retry(retryStates, entry, entry, retry.PolicyRestart), request.Quarantine(entry.suspects),
		request.Choose(entry), request.Isolate(entry.suspects), request.Relay(retryStates))
	return entry
}

func (*entry) IntN(int) int { return 0 }

func (entry *entry) View() request.View { return entry.view }

// complete sends a completion, and returns its result and its text.
func (entry *entry) complete(t *testing.T) (request.Exchange, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	text := ""
	work := call.Request{KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Model: "m", Prompt: "p"}}
	result, err := entry.path.Handle(ctx, request.Exchange{Request: work, Sink: request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		text += chunk.Text
		return nil
	})})
	return result, text, err
}

// Guards against a sound request that is refused as one that crashes servers because engines answered it with garbage, and against
// engines that go on being chosen although they do. The end of a connection makes the request a suspect as before.
func TestGarbageMakesNoSuspect(t *testing.T) {
	chunk := `{"choices":[{"text":"a "}],"offset":0,"tokens":1}`
	cases := []struct {
		name, faulty string
		verdict      suspect.Verdict
	}{
		{"no chunk", streamHead + oneChunk + event("garbage") + "...", suspect.VerdictClear},
		{"early end marker", streamHead + oneChunk + event("[DONE]") + "...", suspect.VerdictClear},
		{"chunk that does not continue the answer", streamHead + oneChunk + event(`{"id":"s","choices":[{"text":"b "}],"offset":1,"tokens":1}`) + "...", suspect.VerdictClear},
		{"event of another type", streamHead + oneChunk + framed("event: error\ndata: "+chunk+"\n\n") + "...", suspect.VerdictClear},
		{"text below the framing", streamHead + oneChunk + "garbage\r\n...", suspect.VerdictClear},
		{"end of the connection", streamHead + oneChunk, suspect.VerdictQuarantined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			faulty := []config.Backend{{Name: "faulty-1", Address: script(t, c.faulty), Slots: 8}, {Name: "faulty-2", Address: script(t, c.faulty), Slots: 8}}
			entry := newEntry(t, faulty)
			result, _, err := entry.complete(t)
			require.Error(t, err)
			assert.Equal(t, c.verdict, entry.suspects.Tracker.Load().Verdict(suspect.FingerprintOf(result.Request), time.Now()))
			for _, server := range entry.view.Fleet.Servers() {
				assert.Greater(t, server.Observation.Load().Slowdown(time.Now()), 1.5, "%s was tried, and its failure counts", server.Name)
			}
		})
	}
}

// Guards against a retry at the engine that sent garbage.
func TestGarbageIsRetriedAtAnotherEngine(t *testing.T) {
	entry := newEntry(t, []config.Backend{
		{Name: "faulty", Address: script(t, streamHead+oneChunk+event("garbage")+"..."), Slots: 8},
		{Name: "sound", Address: script(t, streamHead+oneChunk+endChunk), Slots: 8},
	})
	result, text, err := entry.complete(t)
	require.NoError(t, err)
	assert.Equal(t, "a ", text)
	assert.Equal(t, []string{"faulty", "sound"}, result.TriedServers)
}
