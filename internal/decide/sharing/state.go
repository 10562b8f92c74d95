package sharing

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// rateTime is the time constant with which sums of work decay.
	rateTime = 2 * time.Second
	// minCovered is the part of a sum's window that counts as covered right after the first call.
	minCovered = 0.3
	// figureSteps is the number of steps of a unit to which exchanged figures are rounded. Sums of multiples of a sixteenth are exact,
	// so that they become 0 again.
	figureSteps = 16
)

// State is what an entry knows of the work for one service. It is immutable; the zero value knows nothing. Times are those of
// any clock that does not go back.
type State struct {
	// asked and done are decaying sums of the work that was asked for and done, and ended that of the calls done, as of updatedAt.
	asked       map[Class]float64
	done, ended float64
	updatedAt   time.Duration
	// firstAt is the time of the first call.
	firstAt time.Duration
	// taken is the number of admitted calls that have not ended.
	taken int
	// usual is the work a second that each account usually asks for at all entries, and usualFrom the time of the first plan.
	usual     map[string]float64
	usualFrom time.Duration
	// share is the entry's part of the work that is asked for at all entries.
	share float64
	// busy is the average number of slots that work, over the time of the sums of work.
	busy float64
	// pace is the work a second that a taken slot does, as of pacedAt, 0 if it is not known.
	pace    float64
	pacedAt time.Duration
	// slots are those of the servers, since slotsSince.
	slots      int
	slotsSince time.Duration
	// lackUntil is the time until which calls may be rejected.
	lackUntil time.Duration
	// plan is the latest plan, and load the part of the slots that was taken when it was made, above 1 while calls wait. The averages
	// usual, share and busy are as of plannedAt too, which is 0 before the first plan.
	plan      Plan
	load      float64
	plannedAt time.Duration
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

// HasRoom reports whether so few slots were taken when the plan was made that no call may be rejected.
func (state State) HasRoom() bool { return state.plannedAt > 0 && state.load < freeLoad }

// Load returns the part of the slots that was taken when the plan was made, above 1 while calls wait.
func (state State) Load() float64 { return state.load }

// Figures adds the figures that other entries need to know to figures.
func (state State) Figures(service string, now time.Duration, figures map[uint32]float64) {
	state = state.decayed(now)
	add := func(key uint32, figure float64) {
		if figure = math.Round(figure*figureSteps) / figureSteps; figure > 0 {
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

// decayed returns the state as of now, with maps of its own.
func (state State) decayed(now time.Duration) State {
	left := decay.ByConstant(now-state.updatedAt, rateTime)
	asked := make(map[Class]float64, len(state.asked)+1)
	for class, sum := range state.asked {
		if sum *= left; sum > 0.5/figureSteps {
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
	return max(minCovered, newWeight(state.updatedAt-state.firstAt, rateTime))
}
