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

// recoveryFixture is one entry in front of runners, with a record of what it sends.
type recoveryFixture struct {
	group    runner.Runners
	names    []string
	set      config.Set
	fleet    *rcu.Cell[backend.Fleet]
	recovery *request.RetryStates
	entry    request.Handler
	random   recoveryRandom
	sent     atomic.Int64
	// cut counts the requests for which tokens were computed again.
	cut atomic.Int64
	// failures lists, by request, what came of each try.
	failures *rcu.Cell[map[string][]call.Ran]
	// finals counts the end markers by request.
	finals *rcu.Cell[map[string]int]
}

func newRecoveryFixture(t *testing.T, runners int, settings runner.Settings, policy retry.ResumePolicy) *recoveryFixture {
	fixture := &recoveryFixture{
		group: runner.Runners{}, recovery: request.NewRetryStates(), random: recoveryRandom{&atomic.Uint64{}},
		failures: rcu.New(map[string][]call.Ran{}), finals: rcu.New(map[string]int{}),
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
	for i := range runners {
		settings.Name = fmt.Sprintf("runner-%02d", i)
		fixture.names = append(fixture.names, settings.Name)
		fixture.group[settings.Name] = runner.New(settings)
		change.Backends = append(change.Backends, config.Backend{Name: settings.Name, Address: settings.Name, Slots: settings.Slots})
	}
	fixture.set = config.Set{}.WithChange(change)
	fixture.fleet = rcu.New(backend.Fleet{})
	fixture.leave(t)
	fixture.entry = fixture.chain(policy, func(next request.Handler) request.Handler { return next })
	return fixture
}

// chain returns an entry with the filter move between the choice of the server and the relay.
func (fixture *recoveryFixture) chain(policy retry.ResumePolicy, move request.Filter) request.Handler {
	return request.Chain(request.Dispatch(fixture, fixture),
		request.Identify(fixture),
		request.Retry(fixture.recovery, fixture, fixture.random, policy),
		request.Hedge(fixture.recovery),
		request.Choose(fixture.random),
		move,
		request.Relay(fixture.recovery))
}

// leave publishes a fleet in which the named servers leave.
func (fixture *recoveryFixture) leave(t *testing.T, names ...string) {
	leaving := backend.Departures{}
	for _, name := range names {
		leaving = leaving.WithNotice(name, 0, backend.SourceNotice, time.Now())
	}
	fleet, err := backend.NewFleet(fixture.set, leaving, fixture.fleet.Load())
	require.NoError(t, err)
	fixture.fleet.Store(fleet)
}

func (fixture *recoveryFixture) View() request.View {
	return request.View{Config: fixture.set, Fleet: fixture.fleet.Load()}
}

// Handle counts the end markers that the caller sees.
func (fixture *recoveryFixture) Handle(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	sink := exchange.Sink
	result, err := fixture.entry.Handle(ctx, exchange.WithSink(request.SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		if chunk.Final {
			fixture.finals.Update(func(finals map[string]int) map[string]int {
				return recoveryWith(finals, exchange.Request.ID, finals[exchange.Request.ID]+1)
			})
		}
		return sink.Send(ctx, chunk)
	})))
	if result.RecomputedTokens > 0 {
		fixture.cut.Add(1)
	}
	return result, err
}

func (fixture *recoveryFixture) Complete(ctx context.Context, server backend.Server, request call.Request, sink request.Sink) error {
	fixture.sent.Add(1)
	return fixture.group.Complete(ctx, server, request, sink)
}

func (fixture *recoveryFixture) Do(ctx context.Context, server backend.Server, request call.Request) (call.Answer, error) {
	fixture.sent.Add(1)
	answer, err := fixture.group.Do(ctx, server, request)
	ran := call.RanYes
	var failure *call.Failure
	if errors.As(err, &failure) {
		ran = failure.Ran
	}
	fixture.failures.Update(func(failures map[string][]call.Ran) map[string][]call.Ran {
		return recoveryWith(failures, request.ID, append(slices.Clone(failures[request.ID]), ran))
	})
	return answer, err
}

// recoveryWith returns the map with one value replaced.
func recoveryWith[V any](values map[string]V, key string, value V) map[string]V {
	next := maps.Clone(values)
	next[key] = value
	return next
}

// recoveryRandom counts up, so that a choice among a few servers samples each of
// them: a random sample misses the only untried one of two servers in 1 of 64 cases.
type recoveryRandom struct{ count *atomic.Uint64 }

func (random recoveryRandom) IntN(n int) int { return int(random.count.Add(1) % uint64(n)) }

// recoverySettings describe a runner with eight slots and 20 ms per token.
var recoverySettings = runner.Settings{
	Slots: 8, PromptToken: time.Millisecond, AnswerToken: 20 * time.Millisecond,
	TransferToken: 200 * time.Microsecond,
	Operation:     50 * time.Millisecond, ChunkTokens: 4, CachePrompts: 16,
}
