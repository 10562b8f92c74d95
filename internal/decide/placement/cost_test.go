package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

// change changes an observation.
type change = func(placement.Observation) placement.Observation

// estimateOf returns the estimate of calls with a number of events that take unitMs each.
func estimateOf(events, unitMs float64) work.Estimate {
	sketch := work.Sketch{}
	for range 50 {
		sketch = sketch.WithCall(work.Call{Amount: events, UnitMs: unitMs})
	}
	return sketch.Estimate(0, 0)
}

// paces returns a change that makes a server's paces known from many answers.
func paces(decode, read float64) change {
	return func(observation placement.Observation) placement.Observation {
		return observation.WithWork(func(server work.Server) work.Server {
			for range 40 {
				server = server.WithDecode(decode, now).WithRead(read, now)
			}
			return server
		})
	}
}

// shares returns the part of many calls that each server gets.
func shares(all []placement.Candidate, query placement.Query) map[string]float64 {
	random, share := rand.New(rand.NewPCG(1, 1)), map[string]float64{}
	for range 4000 {
		query.Draw = random.Float64()
		choice, _ := placement.Choose(all, query)
		share[choice.Server.ID] += 1.0 / 4000
	}
	return share
}

// Guards against a choice that changes for a route never seen before, or at an entry that has just started.
func TestWithoutEvidenceTheNumberOfCallsDecides(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		changes := map[int]change{}
		for i := range 12 {
			running, waiting := random.IntN(10), random.IntN(2)
			changes[i] = func(o placement.Observation) placement.Observation {
				return o.WithSent(random.IntN(3000)).WithPeerCalls(running, 1).WithLoad(call.ServerLoad{Running: running, Waiting: waiting}, now)
			}
		}
		query := placement.Query{Now: now, Engine: random.IntN(2) == 0, Prompt: prompt("p"), Draw: random.Float64(), Sample: random.IntN(4)}
		started := candidates(12, changes)
		unknown, _ := placement.Choose(started, query)
		assert.Empty(t, unknown.Instead)
		assert.InDelta(t, unknown.Costs.Counted, unknown.Cost, 1e-6)
	}
}

// Guards against long answers that run into their deadline at a slow server while there are fast ones, and against short calls that meet
// at the fast ones.
func TestLongAnswersAvoidSlowServers(t *testing.T) {
	changes := map[int]change{0: paces(1.8, 1), 1: paces(1.8, 1)}
	query := placement.Query{Now: now, Engine: true, Prompt: call.Prompt{Input: 300}, TimeLeft: 15 * time.Second, Work: estimateOf(120, 100)}
	long := shares(candidates(4, changes), query)
	assert.Zero(t, long["s0"]+long["s1"])
	query.Work = estimateOf(4, 20)
	busy := func(o placement.Observation) placement.Observation { return o.WithPeerCalls(7, 1).WithSent(400) }
	changes[2], changes[3] = busy, busy
	short := shares(candidates(4, changes), query)
	assert.Zero(t, short["s2"]+short["s3"], "an idle slow server answers short calls sooner")
}

// Guards against a call that is given up, or placed as if all servers were equal, because it can end in time nowhere.
func TestCallThatCannotEndInTimeGoesWhereItEndsSoonest(t *testing.T) {
	changes := map[int]change{0: paces(3, 1), 1: paces(1.5, 1), 2: paces(2.2, 1), 3: paces(3, 1)}
	query := placement.Query{Now: now, Engine: true, Prompt: call.Prompt{Input: 300}, TimeLeft: time.Second, Work: estimateOf(400, 100)}
	assert.Len(t, shares(candidates(4, changes), query), 1)
	assert.Contains(t, shares(candidates(4, changes), query), "s1")
}

// Guards against long prompts that delay the answers of many calls beside them.
func TestLongPromptsAvoidServersWithManyAnswers(t *testing.T) {
	crowded := func(o placement.Observation) placement.Observation { return o.WithPeerCalls(7, 1) }
	waiting := func(o placement.Observation) placement.Observation { return o.WithSent(2000).WithPeerCalls(0, 1) }
	query := placement.Query{Now: now, Engine: true, Prompt: call.Prompt{Input: 30000}, Work: estimateOf(10, 20)}
	all := candidates(2, map[int]change{0: crowded, 1: waiting})
	choice, _ := placement.Choose(all, query)
	assert.Equal(t, "s1", choice.Server.ID)
	assert.Equal(t, "s0", choice.Instead)
	query.Prompt.Input = 300
	choice, _ = placement.Choose(all, query)
	assert.Equal(t, "s0", choice.Server.ID)
}

// Guards against a few wrong estimates that close a server, or make it look idle: one call counts for a quarter of a usual one to four.
func TestWrongEstimatesOfRunningCallsDecideLittle(t *testing.T) {
	running := func(count int, leftMs float64) change {
		return func(o placement.Observation) placement.Observation {
			for range count {
				o = o.WithSent(0).WithWork(func(server work.Server) work.Server { return server.WithLeft(leftMs) })
			}
			return o
		}
	}
	query := placement.Query{Now: now, Work: estimateOf(100, 1)}
	chosen := func(all ...change) string {
		changes := map[int]change{}
		for i := range all {
			changes[i] = all[i]
		}
		choice, _ := placement.Choose(candidates(len(all), changes), query)
		return choice.Server.ID
	}
	assert.Equal(t, "s1", chosen(running(4, 1000), running(4, 100)), "equal numbers")
	assert.Equal(t, "s1", chosen(running(6, 1e6), running(7, 10)), "one call more that takes less")
	assert.Equal(t, "s0", chosen(running(1, 1000), running(5, 100), running(5, 100)), "an estimate ten times too high")
}

// Guards against plain servers of different speeds that all entries take for the best, or the worst, at once.
func TestSlowPlainServersGetTheirShare(t *testing.T) {
	for _, sample := range []int{0, 3} {
		query := placement.Query{Now: now, Sample: sample, Work: estimateOf(50, 1)}
		share := shares(candidates(3, map[int]change{0: paces(1, 1.7), 1: paces(1, 0.6)}), query)
		assert.InDelta(t, 0.2, share["s0"], 0.06, fmt.Sprint(share))
		assert.InDelta(t, share["s1"], share["s2"], 0.15, fmt.Sprint(share))
	}
}

// Guards against a route with very short and long answers, whose expected time is far too high, that sends all its calls to a full server
// because it is somewhat faster.
func TestWideSpreadOfAnswersDoesNotFillTheFastestServer(t *testing.T) {
	sketch := work.Sketch{}
	for range 100 {
		sketch = sketch.WithCall(work.Call{Amount: 1, UnitMs: 20}).WithCall(work.Call{Amount: 1000, UnitMs: 20})
	}
	full := func(o placement.Observation) placement.Observation {
		return paces(0.75, 1)(o).WithLoad(call.ServerLoad{Running: 8, Waiting: 4}, now)
	}
	query := placement.Query{Now: now, Engine: true, Prompt: call.Prompt{Input: 300}, TimeLeft: 15 * time.Second, Work: sketch.Estimate(0, 0)}
	all := candidates(2, map[int]change{0: full})
	choice, _ := placement.Choose(all, query)
	assert.Equal(t, "s1", choice.Server.ID)
}
