package sharing

import (
	"math"
	"time"
)

const (
	// lackingLoad is the part of the slots that is taken from which on capacity lacks, and freeLoad that below which nothing is
	// rejected.
	lackingLoad = 0.95
	freeLoad    = 0.5
	// lackTime is how long calls may be rejected after capacity lacked.
	lackTime = 3 * time.Second
	// waitShare is the part of the target latency for which admitted calls wait for a slot, since what can be answered in time is
	// not rejected. It is bounded by minWait, which keeps the servers busy, and maxWait.
	waitShare = 0.4
	minWait   = 200 * time.Millisecond
	maxWait   = 800 * time.Millisecond
	// correctionTime is the time in which a longer wait is brought back. Calls oscillate between too many and too few if it is not
	// longer than the figures are old.
	correctionTime = 3 * time.Second
	// minChange and maxChange bound the admitted work as a multiple of the capacity.
	minChange = 0.75
	maxChange = 1.1
	// paceTolerance is how much the capacity may differ from the usual pace of the slots, as a fraction: the work done lately
	// follows a change of the slots only later.
	paceTolerance = 0.2
)

// totals is what is known of the calls of a service at all entries.
type totals struct {
	// asked is the work a second that is asked for by class, own that at this entry, and others that at all others.
	asked       map[Class]float64
	own, others float64
	// done is the work and ended the number of calls that are done a second, and taken the number of calls in progress.
	done, ended, taken float64
}

// WithOthers returns the state with a new plan, by the figures of all other entries, the scope of the service and the
// slots of its servers. An entry without the figures of others keeps to its share of the slots.
func (state State) WithOthers(service string, figures map[uint32]float64, scope Scope, slots int, now time.Duration) State {
	state = state.decayed(now)
	total := state.totalsOf(service, figures, scope)
	state = state.withShare(total.own, total.others, now)
	if total.others == 0 {
		slots = int(math.Ceil(state.share * float64(slots)))
	}
	state.load, state.plan = total.taken/float64(max(1, slots)), Plan{}
	if state.load >= lackingLoad {
		state.lackUntil = now + lackTime
	}
	state = state.withBusy(min(total.taken, float64(slots)), now).withUsual(total.asked, now)
	if slots > 0 && state.load >= freeLoad && state.busy > 0 {
		state = state.withPace(total.done/state.busy, slots, now)
	}
	if now < state.lackUntil && state.load >= freeLoad {
		state.plan = NewPlan(Demand{Asked: total.asked, Usual: state.usual, Capacity: state.capacity(total, slots, scope.Target)})
		if state.plan.Limits() {
			state.lackUntil = now + lackTime // The load of what is admitted says nothing of what is asked for.
		}
	}
	state.plannedAt = now
	return state
}

// totalsOf returns what this entry and all others measure.
func (state State) totalsOf(service string, figures map[uint32]float64, scope Scope) totals {
	others := func(kind string, class Class) float64 { return max(0, figures[key(kind, service, class)]) }
	sums := totals{
		asked: map[Class]float64{},
		done:  state.rate(state.done) + others(kindDone, Class{}),
		ended: state.rate(state.ended) + others(kindEnded, Class{}),
		taken: float64(state.taken) + others(kindTaken, Class{}),
	}
	for _, class := range scope.Classes {
		own, ofOthers := state.rate(state.asked[class]), others(kindAsked, class)
		sums.own, sums.others = sums.own+own, sums.others+ofOthers
		if own+ofOthers > 0 {
			sums.asked[class] = own + ofOthers
		}
	}
	return sums
}

// capacity returns the work a second that may be admitted for a number of slots: what was done lately, within a tolerance of the usual
// pace of the slots, corrected so that admitted calls wait for a slot as long as the target latency allows.
func (state State) capacity(total totals, slots int, target time.Duration) float64 {
	capacity := total.done / min(1, state.load)
	if expected := state.pace * float64(slots); expected > 0 {
		capacity = max((1-paceTolerance)*expected, min((1+paceTolerance)*expected, capacity))
	}
	wait := (total.taken - float64(slots)) / max(total.ended, minDivisor)
	allowed := max(minWait, min(maxWait, time.Duration(waitShare*float64(target))))
	change := 1 - (wait-allowed.Seconds())/correctionTime.Seconds()
	return capacity * max(minChange, min(maxChange, change))
}
