package sharing

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant with which sums of work decay.
	rateTime = 2 * time.Second
	// minCovered is the part of a sum's window that counts as covered right after the first call.
	minCovered = 0.3
	// usualTime is the time constant of the usual demand. While there is a lack, it changes more slowly, since an excess would
	// soon be usual.
	usualTime        = 30 * time.Second
	usualTimeLacking = 5 * time.Minute
	// usualStart is the time after which the usual demand is known. From then on it rises by at most usualRise of itself a second,
	// and usualRiseLacking while capacity lacks, so that a step in demand is no part of it.
	usualStart       = 8 * time.Second
	usualRise        = 0.02
	usualRiseLacking = 0.002
	// lackingLoad is the part of the slots that is taken from which on capacity lacks, and freeLoad that below which nothing is
	// rejected.
	lackingLoad = 0.95
	freeLoad    = 0.5
	// waitShare is the part of the target latency for which admitted calls wait for a slot, since what can be answered in time is
	// not rejected. It is bounded by minWait, which keeps the servers busy, and maxWait.
	waitShare = 0.4
	minWait   = 200 * time.Millisecond
	maxWait   = 800 * time.Millisecond
	// correctionTime is the time in which a longer wait is brought back. Calls oscillate between too many and too few if it is not
	// longer than the figures are old.
	correctionTime = 3 * time.Second
	// lackTime is how long calls may be rejected after capacity lacked.
	lackTime = 3 * time.Second
	// paceTime is the time constant of the work that a taken slot does a second, and paceTolerance how much the capacity may
	// differ from it, as a fraction: the work done lately follows a change of the slots only later.
	paceTime      = 8 * time.Second
	paceTolerance = 0.2
	// minChange and maxChange bound the admitted work as a multiple of the capacity.
	minChange = 0.75
	maxChange = 1.1
	// fineness is the number of steps of one in figures that are exchanged. Sums of such figures are exact, so that they become
	// 0 again.
	fineness = 16
)

// State is what an entry knows of the work for one service. It is immutable; the zero value knows nothing. Times are those of
// any clock that does not go back.
type State struct {
	// asked and done are sums of work that decay, as of updatedAt, and so is ended, of calls. Taken are the calls in progress.
	asked     map[Class]float64
	done      float64
	ended     float64
	taken     int
	updatedAt time.Duration
	// firstAt is the time of the first call.
	firstAt time.Duration
	// usual is what each account usually asks for at all entries, and usualFrom when that was first measured.
	usual     map[string]float64
	usualFrom time.Duration
	// share is the entry's part of the work that is asked for at all entries, as of plannedAt.
	share     float64
	plannedAt time.Duration
	// busy is the average number of slots that work, over the time of the sums of work.
	busy float64
	// pace is the work a second that a taken slot does, as of pacedAt, 0 if it is not known.
	pace    float64
	pacedAt time.Duration
	// slots are those of the servers, since slotsSince.
	slots      int
	slotsSince time.Duration
	lackUntil  time.Duration
	plan       Plan
	load       float64
}

// WithAsked returns the state after a call of a class asked for work.
func (state State) WithAsked(class Class, work float64, now time.Duration) State {
	state = state.decayed(now)
	state.asked[class] += work
	return state
}

// WithStart returns the state after a call was admitted.
func (state State) WithStart() State {
	state.taken++
	return state
}

// WithEnd returns the state after an admitted call ended, and its work was done if it was answered.
func (state State) WithEnd(work float64, answered bool, now time.Duration) State {
	state = state.decayed(now)
	state.taken = max(0, state.taken-1)
	if answered {
		state.done += work
		state.ended++
	}
	return state
}

// Plan returns the plan by which calls are admitted.
func (state State) Plan() Plan { return state.plan }

// HasRoom reports whether less than half of the slots were taken when the plan was made, so that no call may be rejected.
func (state State) HasRoom() bool { return state.plannedAt > 0 && state.load < freeLoad }

// Load returns the part of the slots that was taken when the plan was made, above 1 while calls wait.
func (state State) Load() float64 { return state.load }

// Figures adds the figures that other entries need to know to figures.
func (state State) Figures(service string, now time.Duration, figures map[uint32]float64) {
	state = state.decayed(now)
	add := func(key uint32, figure float64) {
		if figure = math.Round(figure*fineness) / fineness; figure > 0 {
			figures[key] += figure
		}
	}
	for class, sum := range state.asked {
		add(key(kindAsked, service, class), state.rate(sum))
	}
	add(key(kindDone, service, Class{}), state.rate(state.done))
	add(key(kindEnded, service, Class{}), state.rate(state.ended))
	add(key(kindTaken, service, Class{}), float64(state.taken))
}

// WithOthers returns the state with a new plan, by the figures of all other entries, the scope of the service and the
// slots of its servers. An entry without the figures of others keeps to its share of the slots.
func (state State) WithOthers(service string, figures map[uint32]float64, scope Scope, slots int, now time.Duration) State {
	state = state.decayed(now)
	demand, own, others := Demand{Asked: map[Class]float64{}}, 0.0, 0.0
	for _, class := range scope.Classes {
		asked, asksOthers := state.rate(state.asked[class]), max(0, figures[key(kindAsked, service, class)])
		own, others = own+asked, others+asksOthers
		if asked+asksOthers > 0 {
			demand.Asked[class] = asked + asksOthers
		}
	}
	state = state.withShare(own, others, now)
	if others == 0 {
		slots = int(math.Ceil(state.share * float64(slots)))
	}
	done := state.rate(state.done) + max(0, figures[key(kindDone, service, Class{})])
	ended := state.rate(state.ended) + max(0, figures[key(kindEnded, service, Class{})])
	taken := float64(state.taken) + max(0, figures[key(kindTaken, service, Class{})])
	state.load, state.plan = taken/float64(max(1, slots)), Plan{}
	if state.load >= lackingLoad {
		state.lackUntil = now + lackTime
	}
	state = state.withBusy(min(taken, float64(slots)), now).withUsual(demand.Asked, now)
	if slots > 0 && state.load >= freeLoad && state.busy > 0 {
		state = state.withPace(done/state.busy, slots, now)
	}
	if now < state.lackUntil && state.load >= freeLoad {
		demand.Usual = state.usual
		wait := (taken - float64(slots)) / max(ended, minWork)
		allowed := max(minWait, min(maxWait, time.Duration(waitShare*float64(scope.Target))))
		change := 1 - (wait-allowed.Seconds())/correctionTime.Seconds()
		capacity := done / min(1, state.load)
		if expected := state.pace * float64(slots); expected > 0 {
			capacity = max((1-paceTolerance)*expected, min((1+paceTolerance)*expected, capacity))
		}
		demand.Capacity = capacity * max(minChange, min(maxChange, change))
		if state.plan = NewPlan(demand); state.plan.Limits() {
			state.lackUntil = now + lackTime // The load of what is admitted says nothing of what is asked for.
		}
	}
	state.plannedAt = now
	return state
}

// withUsual returns the state with what accounts ask for now in what they usually ask for.
func (state State) withUsual(asked map[Class]float64, now time.Duration) State {
	if state.usual == nil {
		state.usual, state.usualFrom, state.plannedAt = map[string]float64{}, now, now
	}
	// At first, the usual demand is the mean of all that was seen.
	constant, rise := min(usualTime, max(rateTime, now-state.usualFrom)), usualRise
	if now < state.lackUntil {
		constant, rise = usualTimeLacking, usualRiseLacking
	}
	elapsed := max(0, now-state.plannedAt).Seconds()
	weight := 1 - math.Exp(-elapsed/constant.Seconds())
	wanted, mean := map[string]float64{}, 0.0
	for class, work := range asked {
		wanted[class.Account] += work
	}
	for account, usual := range state.usual {
		wanted[account] += 0 // An account that asks for nothing.
		mean += usual / float64(len(state.usual))
	}
	usual := make(map[string]float64, len(wanted))
	for account, work := range wanted {
		change := weight * (work - state.usual[account])
		if now-state.usualFrom > usualStart {
			change = min(change, rise*elapsed*max(mean, state.usual[account]))
		}
		usual[account] = state.usual[account] + change
	}
	state.usual = usual
	return state
}

// withShare returns the state after the entry and all others were asked for work. Without figures of others, which means that they are
// cut off or have no calls, the share rises slowly.
func (state State) withShare(own, others float64, now time.Duration) State {
	switch {
	case others > 0:
		state.share = own / (own + others)
	case state.plannedAt == 0:
		state.share = 1
	default:
		state.share += (1 - state.share) * (1 - math.Exp(-max(0, now-state.plannedAt).Seconds()/usualTime.Seconds()))
	}
	return state
}

// withBusy returns the state with a number of slots that work now in their average.
func (state State) withBusy(slots float64, now time.Duration) State {
	weight := (1 - math.Exp(-max(0, now-state.plannedAt).Seconds()/rateTime.Seconds())) / state.covered()
	if state.plannedAt == 0 {
		weight = 1
	}
	state.busy += min(1, weight) * (slots - state.busy)
	return state
}

// withPace returns the state after the slots that are taken did work at a pace. Right after a change of the slots, the pace is that
// of other ones.
func (state State) withPace(pace float64, slots int, now time.Duration) State {
	if slots != state.slots {
		state.slots, state.slotsSince = slots, now
	}
	if now-max(state.slotsSince, state.firstAt) < rateTime {
		state.pacedAt = now
		return state
	}
	// A measurement after a long time counts as that of a moment.
	elapsed := min(now-state.pacedAt, rateTime)
	weight := 1 - math.Exp(-max(0, elapsed).Seconds()/paceTime.Seconds())
	if state.pace == 0 {
		weight = 1
	}
	state.pace += weight * (pace - state.pace)
	state.pacedAt = now
	return state
}

// decayed returns the state as of now, with maps of its own.
func (state State) decayed(now time.Duration) State {
	left := math.Exp(-max(0, now-state.updatedAt).Seconds() / rateTime.Seconds())
	asked := make(map[Class]float64, len(state.asked)+1)
	for class, sum := range state.asked {
		if sum *= left; sum > 0.5/fineness {
			asked[class] = sum
		}
	}
	state.asked = asked
	state.done *= left
	state.ended *= left
	if state.updatedAt == 0 {
		state.firstAt = now
	}
	state.updatedAt = max(state.updatedAt, now)
	return state
}

// rate returns the rate of a sum that decays, as of updatedAt.
func (state State) rate(sum float64) float64 {
	return sum / rateTime.Seconds() / state.covered()
}

// covered returns the part of the window of sums that has passed since the first call.
func (state State) covered() float64 {
	return max(minCovered, 1-math.Exp(-(state.updatedAt-state.firstAt).Seconds()/rateTime.Seconds()))
}
