package sharing

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// usualTime is the time constant of the usual demand. While there is a lack, it changes more slowly, since an excess would
	// soon be usual.
	usualTime        = 30 * time.Second
	usualTimeLacking = 5 * time.Minute
	// usualStart is the time after which the usual demand is known. From then on it rises by at most usualRise of itself a second,
	// and usualRiseLacking while capacity lacks, so that a step in demand is no part of it.
	usualStart       = 8 * time.Second
	usualRise        = 0.02
	usualRiseLacking = 0.002
	// shareTime is the time constant with which the share of an entry without figures of others rises to 1.
	shareTime = 30 * time.Second
	// paceTime is the time constant of the work that a taken slot does a second.
	paceTime = 8 * time.Second
)

// newWeight returns the weight of a new value in a moving average that was updated some time ago.
func newWeight(elapsed, constant time.Duration) float64 {
	return 1 - decay.ByConstant(elapsed, constant)
}

// withUsual returns the state with the work that is asked for now in the average of what each account asks for.
func (state State) withUsual(asked map[Class]float64, now time.Duration) State {
	elapsed := now - state.plannedAt
	if state.plannedAt == 0 {
		state.usualFrom, elapsed = now, 0
	}
	// At first, the usual demand is the mean of all that was seen.
	constant, rise := min(usualTime, max(rateTime, now-state.usualFrom)), usualRise
	if now < state.lackUntil {
		constant, rise = usualTimeLacking, usualRiseLacking
	}
	weight := newWeight(elapsed, constant)
	current, mean := sumByAccount(asked), 0.0
	for account, usual := range state.usual {
		current[account] += 0 // An account that asks for nothing.
		mean += usual / float64(len(state.usual))
	}
	usual := make(map[string]float64, len(current))
	for account, work := range current {
		change := weight * (work - state.usual[account])
		if now-state.usualFrom > usualStart {
			change = min(change, rise*max(0, elapsed).Seconds()*max(mean, state.usual[account]))
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
		state.share += (1 - state.share) * newWeight(now-state.plannedAt, shareTime)
	}
	return state
}

// withBusy returns the state with a number of slots that work now in their average.
func (state State) withBusy(slots float64, now time.Duration) State {
	weight := newWeight(now-state.plannedAt, rateTime) / state.covered()
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
	// A pace measured after a long time without load counts as one of the last rateTime only.
	weight := newWeight(min(now-state.pacedAt, rateTime), paceTime)
	if state.pace == 0 {
		weight = 1
	}
	state.pace += weight * (pace - state.pace)
	state.pacedAt = now
	return state
}
