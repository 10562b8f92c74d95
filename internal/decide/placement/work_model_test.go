package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
)

// modelKinds are the kinds of calls: short answers, long prompts with short answers, and long answers.
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

// follower is what an entry follows of a call, as pipe/forward does.
type follower struct {
	estimate     work.Estimate
	leftMs       float64
	next         int
	checkedAt    time.Duration
	checkedEvent int
	uncached     int
}

// modelEntry is what an entry knows.
type modelEntry struct {
	observations []placement.Candidate
	sketches     []work.Sketch
	counts       []int
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
	input := int(min(39600, logNormal(spec.prompt, run.random.NormFloat64(), 3)))
	shared := call.Part{ID: fmt.Sprint(kind, ".", run.random.IntN(2*run.servers)), Tokens: input / 2}
	next := &modelCall{
		entry: run.random.IntN(len(run.entries)), kind: kind, events: events, tokensPerEvent: 4, sentAt: at,
		prompt: call.Prompt{Input: input, Parts: []call.Part{shared, {ID: "own", Tokens: input - shared.Tokens}}},
		hint:   int(logNormal(4*float64(events), run.random.NormFloat64(), 3)) + 1,
	}
	entry := &run.entries[next.entry]
	next.follow = follower{estimate: run.estimate(entry.sketches[kind], next), next: 8}
	query := placement.Query{Now: time.Hour + at, Engine: true, Prompt: next.prompt, Draw: run.random.Float64(), Work: next.follow.estimate, TimeLeft: modelDeadline}
	if len(run.entries) > 12 {
		query.Sample = 3
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

// update changes the observation of a server.
func (entry *modelEntry) update(server int, change func(placement.Observation) placement.Observation) {
	entry.observations[server].Observation = change(entry.observations[server].Observation)
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

// follow records an event at the entry of a call.
func (run *modelRun) follow(call *modelCall, at time.Duration) {
	entry, event, now := &run.entries[call.entry], call.written/call.tokensPerEvent, time.Hour+at
	if event == 1 {
		call.headAt, call.eventAt, call.follow.checkedAt, call.follow.checkedEvent = at, at, at, 1
		expected := time.Duration(float64(call.follow.uncached)/30*float64(time.Millisecond)) + 40*time.Millisecond
		ratio, load := float64(at-call.sentAt)/float64(expected), run.engines[call.server].load()
		read := entry.sketches[call.kind].ReadRatio(ratio)
		entry.update(call.server, func(observation placement.Observation) placement.Observation {
			return observation.WithPromptRead(call.follow.uncached).WithAnswer(ratio, now).WithLoad(load, now)
		})
		run.learnPace(call, func(server work.Server) work.Server { return server.WithRead(read, now) })
		entry.sketches[call.kind] = entry.sketches[call.kind].WithCall(work.Call{HeadRatio: ratio})
		return
	}
	call.longestPause, call.eventAt = max(call.longestPause, at-call.eventAt), at
	if event >= call.follow.next {
		call.follow.next *= 2
		run.sample(call, at, call.follow.estimate.LeftMs(float64(event)))
	}
}

// sample records the pace of a server since the last sample, and what the call has left.
func (run *modelRun) sample(call *modelCall, at time.Duration, leftMs float64) {
	entry, event, change := &run.entries[call.entry], call.written/call.tokensPerEvent, leftMs-call.follow.leftMs
	ratio := 0.0
	if events := event - call.follow.checkedEvent; events >= 4 || call.headAt > 0 && at-call.follow.checkedAt > time.Second {
		ratio = entry.sketches[call.kind].DecodeRatio(float64(at-call.follow.checkedAt) / float64(time.Millisecond) / float64(max(1, events)))
	}
	call.follow.checkedAt, call.follow.checkedEvent, call.follow.leftMs = at, event, leftMs
	entry.update(call.server, func(observation placement.Observation) placement.Observation {
		return observation.WithWork(func(server work.Server) work.Server { return server.WithLeft(change) })
	})
	run.learnPace(call, func(server work.Server) work.Server { return server.WithDecode(ratio, time.Hour+at) })
}

// learnPace records a sample of a server's pace.
func (run *modelRun) learnPace(call *modelCall, change func(work.Server) work.Server) {
	run.entries[call.entry].update(call.server, func(observation placement.Observation) placement.Observation { return observation.WithWork(change) })
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

// end records the end of a call, at its deadline or before.
func (run *modelRun) end(call *modelCall, at time.Duration) {
	entry, event := &run.entries[call.entry], call.written/call.tokensPerEvent
	whole := event >= call.events
	run.sample(call, at, 0)
	entry.update(call.server, func(observation placement.Observation) placement.Observation {
		if call.headAt == 0 {
			observation = observation.WithPromptRead(call.follow.uncached)
		}
		return observation.WithEnd()
	})
	entry.counts[call.server]--
	seen := work.Call{Amount: float64(event), Hint: float64(call.hint)}
	if !whole {
		seen.Amount += call.follow.estimate.Left(float64(event))
	}
	if event >= 4 {
		seen.UnitMs = float64(call.eventAt-call.headAt) / float64(time.Millisecond) / float64(event-1)
	}
	entry.sketches[call.kind] = entry.sketches[call.kind].WithCall(seen)
	if call.sentAt < learnTime {
		return
	}
	run.result.calls++
	if call.kind == 0 {
		wait := modelDeadline
		if call.headAt > 0 {
			wait = call.headAt - call.sentAt
		}
		run.waits = append(run.waits, wait)
	}
	if call.kind == 2 {
		run.streams++
		run.result.late += number(!whole)
		run.result.paused += number(whole && call.longestPause > longPause)
	}
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
	if len(run.entries) > 12 {
		weight = 0.1
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

// slow lets neighbours slow some servers for a time.
func (run *modelRun) slow(at time.Duration) {
	for i := range run.engines {
		if run.random.Float64() < run.slowed*float64(roundTime)/float64(slowedTime) {
			run.engines[i].slowedUntil = at + slowedTime
		}
	}
}

// number returns 1 for true and 0 for false.
func number(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// mixedModel returns a model of servers with different speeds, at least 18 and 13 for each 10 entries.
func mixedModel(entries int, spread float64, policy policy) workModel {
	return workModel{policy: policy, entries: entries, servers: max(18, entries*13/10), spread: spread, rate: 4, speeds: []float64{0.6, 1, 1.6}, length: 40 * time.Second}
}

// Guards against streams that run on slow, crowded servers until their deadline, and against estimates, right or wrong, that cost short
// calls more than they gain.
func TestExpectedWorkEndsMoreStreamsInTime(t *testing.T) {
	results := map[policy]workResult{}
	for _, policy := range []policy{policyCalls, policyEstimated, policyWrong} {
		results[policy] = mixedModel(9, 4, policy).run(1)
		t.Logf("%-10s %+v", policy, results[policy])
	}
	calls := results[policyCalls]
	lost := func(result workResult) float64 { return result.late + result.paused }
	assert.Less(t, lost(results[policyEstimated]), lost(calls))
	assert.LessOrEqual(t, lost(results[policyWrong]), lost(calls))
	for _, result := range results {
		assert.LessOrEqual(t, result.wait99, calls.wait99*11/10)
	}
}

// Guards against many entries that all know the same servers as fast, from reports up to 3 s old, and meet there: the calls of the most used
// tenth of the servers and the wait of short calls stay within a tenth of those by the number of calls, where servers are equal, and
// streams are not lost where they differ.
func TestManyEntriesWithSharedPacesDoNotMeetAtFastServers(t *testing.T) {
	for name, speeds := range map[string][]float64{"equal": {1}, "different": {0.6, 1, 1.6}} {
		t.Run(name, func(t *testing.T) {
			run := func(policy policy) workResult {
				model := mixedModel(86, 4, policy)
				model.speeds, model.paceRounds, model.length = speeds, 6, 32*time.Second
				return model.run(1)
			}
			calls, shared := run(policyCalls), run(policyShared)
			t.Logf("%+v", calls)
			t.Logf("%+v", shared)
			assert.LessOrEqual(t, shared.wait99, calls.wait99*11/10)
			assert.LessOrEqual(t, shared.late+shared.paused, calls.late+calls.paused)
			if name == "equal" {
				assert.LessOrEqual(t, shared.busier, calls.busier*1.1)
			}
		})
	}
}

// BenchmarkWork measures the policies; docs/design/cost-aware-selection.md has the figures.
func BenchmarkWork(b *testing.B) {
	for _, entries := range []int{9, 86, 420} {
		for _, spread := range []float64{1, 4, 16} {
			for _, slowed := range []float64{0, 0.1} {
				for _, policy := range []policy{policyCalls, policyExact, policyEstimated, policyShared, policyWrong} {
					model := mixedModel(entries, spread, policy)
					model.slowed = slowed
					if entries > 100 {
						model.length = 32 * time.Second
					}
					b.Run(fmt.Sprintf("%d_entries/spread_%.0f/slowed_%.1f/%s", entries, spread, slowed, policy), func(b *testing.B) {
						result := model.run(1)
						b.ReportMetric(result.wait50.Seconds()*1000, "wait50-ms")
						b.ReportMetric(result.wait99.Seconds()*1000, "wait99-ms")
						b.ReportMetric(100*result.late, "late-%")
						b.ReportMetric(100*result.paused, "paused-%")
						b.ReportMetric(100*result.busier, "top-tenth-%")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
