package request_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// retryFixture is one entry in front of runners, with counts of its calls and its answers.
type retryFixture struct {
	runners     runner.Runners
	names       []string
	set         config.Set
	fleet       *rcu.Cell[backend.Fleet]
	retryStates *request.RetryStates
	entry       request.Handler
	random      sequentialNumbers
	sentCalls   atomic.Int64
	// recomputedRequests counts the requests for which servers recomputed tokens.
	recomputedRequests atomic.Int64
	// ranByRequest lists, by request id, whether each attempt at a plain service ran there.
	ranByRequest *rcu.Cell[map[string][]call.Ran]
	// endMarkers counts the end markers that the caller received, by request id.
	endMarkers *rcu.Cell[map[string]int]
}

func newRetryFixture(t *testing.T, runnerCount int, settings runner.Settings, policy retry.ResumePolicy) *retryFixture {
	fixture := &retryFixture{
		runners: runner.Runners{}, retryStates: request.NewRetryStates(), random: sequentialNumbers{&atomic.Uint64{}},
		ranByRequest: rcu.New(map[string][]call.Ran{}), endMarkers: rcu.New(map[string]int{}),
	}
	change := config.Change{
		Revision: 1,
		Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}},
		Services: []config.Service{
			{Name: "menu", Protocol: config.ProtocolEngine, TimeoutMs: 60_000},
			{Name: "status", Protocol: config.ProtocolPlain, Repeat: config.RepeatIdempotent, TimeoutMs: 20_000},
			{Name: "booking", Protocol: config.ProtocolPlain, Repeat: config.RepeatNever, TimeoutMs: 20_000},
			{Name: "order", Protocol: config.ProtocolPlain, Repeat: config.RepeatByKey, TimeoutMs: 20_000},
		},
	}
	for i := range runnerCount {
		settings.Name = fmt.Sprintf("runner-%02d", i)
		fixture.names = append(fixture.names, settings.Name)
		fixture.runners[settings.Name] = runner.New(settings)
		change.Backends = append(change.Backends, config.Backend{Name: settings.Name, Address: settings.Name, Slots: settings.Slots})
	}
	fixture.set = config.Set{}.WithChange(change)
	fixture.fleet = rcu.New(backend.Fleet{})
	fixture.setLeaving(t)
	fixture.entry = fixture.chain(policy, func(next request.Handler) request.Handler { return next })
	return fixture
}

// chain returns an entry with the filter move between the choice of the server and the relay.
func (fixture *retryFixture) chain(policy retry.ResumePolicy, move request.Filter) request.Handler {
	return request.Chain(request.Dispatch(fixture, fixture),
		request.Identify(fixture),
		request.Retry(fixture.retryStates, fixture, fixture.random, policy),
		request.Hedge(fixture.retryStates),
		request.Choose(fixture.random),
		move,
		request.Relay(fixture.retryStates))
}

// setLeaving publishes a fleet in which the named servers, and no others, are leaving.
func (fixture *retryFixture) setLeaving(t *testing.T, names ...string) {
	departures := backend.Departures{}
	for _, name := range names {
		departures = departures.WithNotice(name, 0, backend.SourceNotice, time.Now())
	}
	fleet, err := backend.NewFleet(fixture.set, departures, fixture.fleet.Load())
	require.NoError(t, err)
	fixture.fleet.Store(fleet)
}

func (fixture *retryFixture) View() request.View {
	return request.View{Config: fixture.set, Fleet: fixture.fleet.Load()}
}

// Handle passes a request to the entry and counts the end markers that the caller receives.
func (fixture *retryFixture) Handle(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	sink := exchange.Sink
	result, err := fixture.entry.Handle(ctx, exchange.WithSink(request.SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		if chunk.Final {
			fixture.endMarkers.Update(func(endMarkers map[string]int) map[string]int {
				return withValue(endMarkers, exchange.Request.ID, endMarkers[exchange.Request.ID]+1)
			})
		}
		return sink.Send(ctx, chunk)
	})))
	if result.RecomputedTokens > 0 {
		fixture.recomputedRequests.Add(1)
	}
	return result, err
}

func (fixture *retryFixture) Complete(ctx context.Context, server backend.Server, request call.Request, sink request.Sink) error {
	fixture.sentCalls.Add(1)
	return fixture.runners.Complete(ctx, server, request, sink)
}

func (fixture *retryFixture) Do(ctx context.Context, server backend.Server, request call.Request) (call.Answer, error) {
	fixture.sentCalls.Add(1)
	answer, err := fixture.runners.Do(ctx, server, request)
	ran := call.RanYes
	var failure *call.Failure
	if errors.As(err, &failure) {
		ran = failure.Ran
	}
	fixture.ranByRequest.Update(func(ranByRequest map[string][]call.Ran) map[string][]call.Ran {
		return withValue(ranByRequest, request.ID, append(slices.Clone(ranByRequest[request.ID]), ran))
	})
	return answer, err
}

// withValue returns a copy of the map with one value replaced.
func withValue[V any](values map[string]V, key string, value V) map[string]V {
	next := maps.Clone(values)
	next[key] = value
	return next
}

// sequentialNumbers returns successive numbers modulo n instead of random ones, so that a
// choice among a few servers samples each of them. A random sample misses the only untried
// one of two servers in 1 of 64 cases.
type sequentialNumbers struct{ count *atomic.Uint64 }

func (sequentialNumbers sequentialNumbers) IntN(n int) int {
	return int(sequentialNumbers.count.Add(1) % uint64(n))
}

// runnerSettings describes a runner with eight slots and 20 ms per answer token.
var runnerSettings = runner.Settings{
	Slots: 8, PromptToken: time.Millisecond, AnswerToken: 20 * time.Millisecond,
	TransferToken: 200 * time.Microsecond,
	Operation:     50 * time.Millisecond, ChunkTokens: 4, CachePrompts: 16,
}
