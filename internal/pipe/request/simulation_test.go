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
	queueEntryCount = 8
	assistantSlots  = 16 // per assistant runner
	assistantCount  = 12
	simulatedTime   = 60 * time.Second
	// shortTokens is the length of a draft in tokens; a checklist is longFactor times as long.
	shortTokens = 5
	longFactor  = 30
	answerToken = 80 * time.Millisecond
	promptToken = 2 * time.Millisecond
	promptBytes = 200
)

// slotSeconds returns the time in seconds for which an answer of that many tokens occupies a slot.
func slotSeconds(tokens int) float64 {
	return float64(tokens)*answerToken.Seconds() + promptBytes/4*promptToken.Seconds()
}

// seededNumbers is an entry's source of random numbers, which depend only on the initial
// state.
type seededNumbers struct{ state *atomic.Uint64 }

func (seededNumbers seededNumbers) IntN(n int) int {
	return rand.New(rand.NewPCG(seededNumbers.state.Add(1), 7)).IntN(n)
}

// policy returns the filters of one entry that are placed between the identification of the
// caller and the dispatch.
type policy func(views request.ViewSource, index int, random seededNumbers) []request.Filter

// queuePolicy is the policy under test: requests wait in the entry's queues.
func queuePolicy(views request.ViewSource, index int, random seededNumbers) []request.Filter {
	estimator := rcu.New(account.Estimator{})
	partition := request.FixedPartition{Entries: queueEntryCount, Index: index}
	queues := request.NewQueues(views, partition, estimator)
	return []request.Filter{
		request.Estimate(estimator), request.NewAdmission(fmt.Sprint(index), partition).Admit(),
		queues.WaitForSlot(), queues.PreferFreeServers(), request.Choose(random), queues.CountLongWork(),
	}
}

// fifo returns a policy without queues at the entry: each request is sent at once to the
// server that chooseServer returns, where requests wait in order of arrival. The turn is the
// number of the request at its entry, and index that of the entry.
func fifo(chooseServer func(servers []backend.Server, turn, index int, random seededNumbers) backend.Server) policy {
	return func(_ request.ViewSource, index int, random seededNumbers) []request.Filter {
		turns := &atomic.Int64{}
		return []request.Filter{func(next request.Handler) request.Handler {
			return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				server := chooseServer(exchange.View.Fleet.Candidates(exchange.Service.Name), int(turns.Add(1)), index, random)
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

func lessLoaded(a, b backend.Server) backend.Server {
	if b.Observation.Load().InFlight < a.Observation.Load().InFlight {
		return b
	}
	return a
}

// policies are the baselines and the policy under test, which is named "queue".
var policies = map[string]policy{
	"fifo, round robin": fifo(func(servers []backend.Server, turn, index int, _ seededNumbers) backend.Server {
		return servers[(turn+index)%len(servers)]
	}),
	"fifo, least in flight": fifo(func(servers []backend.Server, _, _ int, random seededNumbers) backend.Server {
		best, start := servers[0], random.IntN(len(servers))
		for i := range servers {
			candidate := servers[(start+i)%len(servers)]
			if i == 0 {
				best = candidate
			}
			best = lessLoaded(best, candidate)
		}
		return best
	}),
	"fifo, two choices": fifo(func(servers []backend.Server, _, _ int, random seededNumbers) backend.Server {
		return lessLoaded(servers[random.IntN(len(servers))], servers[random.IntN(len(servers))])
	}),
	"queue": queuePolicy,
}

// queueResult is the report of one run and the number of long answers that were complete
// within the simulated time.
type queueResult struct {
	load.Report
	longCompleted int64
}

// simulateQueues offers a mix of work to entries that share runners, in virtual time.
func simulateQueues(t *testing.T, policy policy, seed uint64, accounts []config.Account, mix []load.Work) queueResult {
	var result queueResult
	synctest.Test(t, func(t *testing.T) {
		runners := runner.Runners{}
		change := config.Change{Revision: 1, Accounts: accounts, Services: []config.Service{
			{Name: "assistant", Protocol: config.ProtocolEngine, Selector: "role=assistant"},
			{Name: "stock", Protocol: config.ProtocolPlain, Selector: "role=stock", Repeat: config.RepeatIdempotent},
		}}
		for i := range assistantCount + 3 {
			role := "assistant"
			if i >= assistantCount {
				role = "stock"
			}
			name := fmt.Sprintf("%s-%02d", role, i)
			runners[name] = runner.New(runner.Settings{
				Name: name, Slots: assistantSlots, PromptToken: promptToken, AnswerToken: answerToken, ChunkTokens: 1, Operation: 10 * time.Millisecond,
			})
			change.Backends = append(change.Backends, config.Backend{Name: name, Address: name, Slots: assistantSlots, Labels: map[string]string{"role": role}})
		}
		set := config.Set{}.WithChange(change)
		var longCompleted atomic.Int64
		end := time.Now().Add(simulatedTime)
		var handlers []request.Handler
		for index := range queueEntryCount {
			fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
			require.NoError(t, err)
			random := seededNumbers{&atomic.Uint64{}}
			random.state.Store(seed<<32 + uint64(index)<<24)
			snapshot := fixedView{request.View{Config: set, Fleet: fleet}}
			filters := append([]request.Filter{request.Identify(snapshot)}, policy(snapshot, index, random)...)
			entry := request.Chain(request.Dispatch(runners, runners), filters...)
			handlers = append(handlers, request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				tokens := runner.Length(exchange.Request.Completion.Prompt)
				exchange, err := entry.Handle(ctx, exchange)
				if err == nil && tokens == shortTokens*longFactor && time.Now().Before(end) {
					longCompleted.Add(1)
				}
				return exchange, err
			}))
		}
		result.Report = load.Run(t.Context(), load.Settings{Seed: seed, Duration: simulatedTime, Mix: mix}, handlers)
		result.longCompleted = longCompleted.Load()
	})
	return result
}
