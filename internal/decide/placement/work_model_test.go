package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

const (
	modelDeadline = 15 * time.Second
	// longPause is the pause between events from which on a stream is of no use to its caller.
	longPause = 500 * time.Millisecond
	// roundTime is the time between reports of the entries' calls, which are reportRounds as old when they are used.
	roundTime    = 500 * time.Millisecond
	reportRounds = 3
	// learnTime is the time at the start that is not counted, in which entries learn.
	learnTime = 10 * time.Second
	// manyEntries is the number of entries above which one chooses among a sample of the servers, and counts its peers' calls by peerWeight,
	// so that entries with the same old reports do not all choose the same server.
	manyEntries = 12
	sampled     = 3
	peerWeight  = 0.1
	// largestPrompt is the highest number of tokens of a prompt.
	largestPrompt = 39600
)

// modelKinds are the kinds of calls, by their part of all calls and the medians of their events and of the tokens of their prompts: short
// answers, long prompts with short answers, and long answers.
var modelKinds = []struct{ part, events, prompt float64 }{{0.5, 10, 1200}, {0.25, 5, 7000}, {0.25, 66, 2500}}

// policy is how an entry chooses a server.
type policy string

// The policies: today's choice, work known exactly, work as estimated, estimates that are ten times too high for half of the calls and ten
// times too low for the others, and estimates with the paces that other entries report.
const (
	policyCalls     policy = "calls"
	policyExact     policy = "exact"
	policyEstimated policy = "estimated"
	policyWrong     policy = "wrong"
	policyShared    policy = "shared"
)

// workModel plays entries that choose engines in virtual time.
type workModel struct {
	policy           policy
	entries, servers int
	// spread is the factor between the 95th of 100 answers and the median one.
	spread float64
	// rate is the number of calls a second for each server.
	rate float64
	// speeds are those of the servers in turn, and slowed the part of them that neighbours slow at any time.
	speeds []float64
	slowed float64
	length time.Duration
	// paceRounds is the number of rounds between reports of paces, 0 for each round.
	paceRounds int
}

// workResult has the figures of a run: times to the first event of the short calls, the parts of streams that end late or pause too
// long, and the part of the calls that went to the most used tenth of the servers.
type workResult struct {
	wait50, wait99       time.Duration
	late, paused, busier float64
	calls                int
}

// steps are the times at which engines end their steps, the first one first.
type steps []struct {
	at     time.Duration
	server int
}

func (steps steps) Len() int           { return len(steps) }
func (steps steps) Less(i, j int) bool { return steps[i].at < steps[j].at }
func (steps steps) Swap(i, j int)      { steps[i], steps[j] = steps[j], steps[i] }
func (steps *steps) Push(value any) {
	*steps = append(*steps, value.(struct {
		at     time.Duration
		server int
	}))
}

func (steps *steps) Pop() any {
	last := (*steps)[len(*steps)-1]
	*steps = (*steps)[:len(*steps)-1]
	return last
}

// modelRun is the state of a run.
type modelRun struct {
	workModel
	random  *rand.Rand
	entries []modelEntry
	engines []engine
	steps   steps
	history [][][]int
	rounds  int
	waits   []time.Duration
	result  workResult
	streams int
	used    []int
}

// run plays the model.
func (model workModel) run(seed uint64) workResult {
	run := &modelRun{workModel: model, random: rand.New(rand.NewPCG(seed, seed)), entries: make([]modelEntry, model.entries), engines: make([]engine, model.servers), used: make([]int, model.servers)}
	for i := range run.engines {
		run.engines[i] = engine{speed: model.speeds[i%len(model.speeds)], cached: map[string]bool{}, idle: true}
	}
	for i := range run.entries {
		run.entries[i] = modelEntry{observations: candidates(model.servers, nil), sketches: make([]work.Sketch, len(modelKinds)), counts: make([]int, model.servers)}
		for server := range run.entries[i].observations {
			run.entries[i].observations[server].Server = directory.Server{ID: fmt.Sprint(server), Slots: engineSlots}
		}
	}
	nextReport, perSecond := time.Duration(0), model.rate*float64(model.servers)
	for at := time.Duration(0); at < model.length; {
		at += time.Duration(run.random.ExpFloat64() / perSecond * float64(time.Second))
		for len(run.steps) > 0 && run.steps[0].at <= at {
			step := run.steps[0]
			heap.Pop(&run.steps)
			run.step(step.server, step.at)
		}
		if at >= nextReport {
			nextReport += roundTime
			run.report(time.Hour + at)
			run.slow(at)
		}
		run.send(at)
	}
	slices.Sort(run.waits)
	slices.Sort(run.used)
	result, top := run.result, 0
	for _, calls := range run.used[len(run.used)-max(1, len(run.used)/10):] {
		top += calls
	}
	result.late, result.paused, result.busier = result.late/float64(run.streams), result.paused/float64(run.streams), float64(top)/float64(result.calls)
	result.wait50, result.wait99 = run.waits[len(run.waits)/2], run.waits[len(run.waits)*99/100]
	return result
}

// send sends a new call from some entry.
func (run *modelRun) send(at time.Duration) {
	kind, draw := 0, run.random.Float64()
	for draw > modelKinds[kind].part {
		draw -= modelKinds[kind].part
		kind++
	}
	spec := modelKinds[kind]
	events := max(1, int(logNormal(spec.events, run.random.NormFloat64(), run.spread)))
	input := int(min(largestPrompt, logNormal(spec.prompt, run.random.NormFloat64(), 3)))
	shared := call.Part{ID: fmt.Sprint(kind, ".", run.random.IntN(2*run.servers)), Tokens: input / 2}
	next := &modelCall{
		entry: run.random.IntN(len(run.entries)), kind: kind, events: events, tokensPerEvent: 4, sentAt: at,
		prompt: call.Prompt{Input: input, Parts: []call.Part{shared, {ID: "own", Tokens: input - shared.Tokens}}},
		hint:   int(logNormal(4*float64(events), run.random.NormFloat64(), 3)) + 1,
	}
	entry := &run.entries[next.entry]
	next.follow = follower{estimate: run.estimate(entry.sketches[kind], next), next: 8}
	query := placement.Query{Now: time.Hour + at, Engine: true, Prompt: next.prompt, Draw: run.random.Float64(), Work: next.follow.estimate, TimeLeft: modelDeadline}
	if len(run.entries) > manyEntries {
		query.Sample = sampled
	}
	choice, _ := placement.Choose(entry.observations, query)
	_, _ = fmt.Sscan(choice.Server.ID, &next.server)
	next.follow.uncached, next.follow.leftMs = choice.UncachedTokens, next.follow.estimate.LeftMs(0)
	entry.update(next.server, func(observation placement.Observation) placement.Observation {
		return observation.WithSent(choice.UncachedTokens).WithWork(func(server work.Server) work.Server { return server.WithLeft(next.follow.leftMs) })
	})
	entry.counts[next.server]++
	engine := &run.engines[next.server]
	engine.accept(next)
	if engine.idle {
		engine.idle = false
		run.step(next.server, at)
	}
	if at > learnTime {
		run.used[next.server]++
	}
}

// estimate returns the estimate of a call by the policy.
func (run *modelRun) estimate(sketch work.Sketch, next *modelCall) work.Estimate {
	learned := sketch.Estimate(float64(next.hint), 0)
	if run.policy == policyCalls || !learned.Known() {
		return work.Estimate{}
	}
	if run.policy == policyEstimated || run.policy == policyShared {
		return learned
	}
	amount := float64(next.events)
	if run.policy == policyWrong {
		amount *= math.Pow(10, float64(2*run.random.IntN(2)-1))
	}
	known, unitMs := work.Sketch{}, learned.LeftMs(0)/learned.Left(0)
	for range 10 {
		known = known.WithCall(work.Call{Amount: amount, UnitMs: unitMs})
	}
	return known.Estimate(0, 0)
}

// step runs one step of an engine, and plans the next one.
func (run *modelRun) step(server int, at time.Duration) {
	engine := &run.engines[server]
	if len(engine.running)+len(engine.waiting) == 0 {
		engine.idle = true
		return
	}
	end, wrote, ended := engine.step(at)
	for _, call := range wrote {
		run.follow(call, end)
	}
	for _, call := range ended {
		run.end(call, end)
	}
	heap.Push(&run.steps, struct {
		at     time.Duration
		server int
	}{end, server})
}

// report gives each entry the calls of the others, as they were some reports before.
func (run *modelRun) report(now time.Duration) {
	run.rounds++
	counts := make([][]int, len(run.entries))
	for i := range counts {
		counts[i] = run.entries[i].counts
	}
	run.history = append(run.history, cloneCounts(counts))
	if len(run.history) <= reportRounds {
		return
	}
	counts, run.history = run.history[0], run.history[1:]
	weight := 1.0
	if len(run.entries) > manyEntries {
		weight = peerWeight
	}
	for server := range run.engines {
		if run.policy == policyShared && run.rounds%max(1, run.paceRounds) == 0 {
			run.sharePaces(server, now)
		}
		total := 0
		for entry := range counts {
			total += counts[entry][server]
		}
		for entry := range run.entries {
			run.entries[entry].update(server, func(observation placement.Observation) placement.Observation {
				return observation.WithPeerCalls(total-counts[entry][server], weight)
			})
		}
	}
}

// sharePaces gives each entry the paces of a server that the others report.
func (run *modelRun) sharePaces(server int, now time.Duration) {
	sum, all := work.SharedPace{}, make([]work.SharedPace, len(run.entries))
	for i := range run.entries {
		all[i] = run.entries[i].observations[server].Observation.Work().Decode.Shared(now)
		sum.Log, sum.Samples = sum.Log+all[i].Log, sum.Samples+all[i].Samples
	}
	for i := range run.entries {
		others := work.SharedPace{Log: sum.Log - all[i].Log, Samples: sum.Samples - all[i].Samples}
		run.entries[i].update(server, func(observation placement.Observation) placement.Observation {
			return observation.WithWork(func(server work.Server) work.Server { return server.WithPeers(others) })
		})
	}
}

// slow lets neighbours slow some servers for a time.
func (run *modelRun) slow(at time.Duration) {
	for i := range run.engines {
		if run.random.Float64() < run.slowed*float64(roundTime)/float64(slowedTime) {
			run.engines[i].slowedUntil = at + slowedTime
		}
	}
}
