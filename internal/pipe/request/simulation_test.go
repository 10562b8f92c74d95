package request_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	entryCount = 8
	slots      = 16 // per assistant runner
	assistants = 12
	window     = 60 * time.Second
	// shortTokens is the length of a draft; a checklist is longFactor times longer.
	shortTokens = 5
	longFactor  = 30
	answerToken = 80 * time.Millisecond
	promptToken = 2 * time.Millisecond
	promptBytes = 200
)

// slotSeconds is the time that an answer of that many tokens holds a slot.
func slotSeconds(tokens int) float64 {
	return float64(tokens)*answerToken.Seconds() + promptBytes/4*promptToken.Seconds()
}

// seeded is the source of random numbers of one entry, whose results depend on the seed only.
type seeded struct{ state *atomic.Uint64 }

func (seeded seeded) IntN(n int) int {
	return rand.New(rand.NewPCG(seeded.state.Add(1), 7)).IntN(n)
}

// policy returns the filters of one entry between identification and dispatch.
type policy func(views request.ViewSource, index int, random seeded) []request.Filter

// queued is the policy under test.
func queued(views request.ViewSource, index int, random seeded) []request.Filter {
	estimator := rcu.New(account.Estimator{})
	share := request.FixedPartition{Entries: entryCount, Index: index}
	queues := request.NewQueues(views, share, estimator)
	return []request.Filter{
		request.Estimate(estimator), request.NewAdmission(fmt.Sprint(index), share).Admit(),
		queues.WaitForSlot(), queues.PreferFreeServers(), request.Choose(random), queues.CountLongWork(),
	}
}

// fifo sends each request at once to the server that pick returns.
func fifo(pick func(servers []backend.Server, turn, index int, random seeded) backend.Server) policy {
	return func(_ request.ViewSource, index int, random seeded) []request.Filter {
		turns := &atomic.Int64{}
		return []request.Filter{func(next request.Handler) request.Handler {
			return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				server := pick(exchange.View.Fleet.Candidates(exchange.Service.Name), int(turns.Add(1)), index, random)
				_, id := rcu.Apply(server.Observation, func(observation backend.Observation) (backend.Observation, uint64) {
					return observation.WithStart(time.Now(), 0, &atomic.Bool{})
				})
				defer rcu.Apply(server.Observation, func(observation backend.Observation) (backend.Observation, float64) {
					return observation.WithEnd(id, time.Now())
				})
				return next.Handle(ctx, exchange.WithServer(server))
			})
		}}
	}
}

func lessLoaded(one, other backend.Server) backend.Server {
	if other.Observation.Load().InFlight < one.Observation.Load().InFlight {
		return other
	}
	return one
}

var policies = map[string]policy{
	"fifo, round robin": fifo(func(servers []backend.Server, turn, index int, _ seeded) backend.Server {
		return servers[(turn+index)%len(servers)]
	}),
	"fifo, least in flight": fifo(func(servers []backend.Server, _, _ int, random seeded) backend.Server {
		best, first := servers[0], random.IntN(len(servers))
		for i := range servers {
			other := servers[(first+i)%len(servers)]
			if i == 0 {
				best = other
			}
			best = lessLoaded(best, other)
		}
		return best
	}),
	"fifo, two choices": fifo(func(servers []backend.Server, _, _ int, random seeded) backend.Server {
		return lessLoaded(servers[random.IntN(len(servers))], servers[random.IntN(len(servers))])
	}),
	"queue": queued,
}

// queueResult is the report of one run and the long answers that ended within the window.
type queueResult struct {
	load.Report
	longDone int64
}

// simulateQueues offers work to entries that share runners, in virtual time.
func simulateQueues(t *testing.T, policy policy, seed uint64, accounts []config.Account, mix []load.Work) queueResult {
	var outcome queueResult
	synctest.Test(t, func(t *testing.T) {
		group := runner.Runners{}
		change := config.Change{Revision: 1, Accounts: accounts, Services: []config.Service{
			{Name: "assistant", Protocol: config.ProtocolEngine, Selector: "role=assistant"},
			{Name: "stock", Protocol: config.ProtocolPlain, Selector: "role=stock", Repeat: config.RepeatIdempotent},
		}}
		for i := range assistants + 3 {
			role := "assistant"
			if i >= assistants {
				role = "stock"
			}
			name := fmt.Sprintf("%s-%02d", role, i)
			group[name] = runner.New(runner.Settings{
				Name: name, Slots: slots, PromptToken: promptToken, AnswerToken: answerToken, ChunkTokens: 1, Operation: 10 * time.Millisecond,
			})
			change.Backends = append(change.Backends, config.Backend{Name: name, Address: name, Slots: slots, Labels: map[string]string{"role": role}})
		}
		set := config.Set{}.WithChange(change)
		var done atomic.Int64
		end := time.Now().Add(window)
		var handlers []request.Handler
		for index := range entryCount {
			fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
			require.NoError(t, err)
			random := seeded{&atomic.Uint64{}}
			random.state.Store(seed<<32 + uint64(index)<<24)
			snapshot := views{request.View{Config: set, Fleet: fleet}}
			filters := append([]request.Filter{request.Identify(snapshot)}, policy(snapshot, index, random)...)
			entry := request.Chain(request.Dispatch(group, group), filters...)
			handlers = append(handlers, request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				tokens := runner.Length(exchange.Request.Completion.Prompt)
				exchange, err := entry.Handle(ctx, exchange)
				if err == nil && tokens == shortTokens*longFactor && time.Now().Before(end) {
					done.Add(1)
				}
				return exchange, err
			}))
		}
		outcome.Report = load.Run(t.Context(), load.Settings{Seed: seed, Duration: window, Mix: mix}, handlers)
		outcome.longDone = done.Load()
	})
	return outcome
}
