package placement_test

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

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

// update changes the observation of a server.
func (entry *modelEntry) update(server int, change func(placement.Observation) placement.Observation) {
	entry.observations[server].Observation = change(entry.observations[server].Observation)
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

// number returns 1 for true and 0 for false.
func number(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
