package attempt

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Verdict says what follows a try.
type Verdict string

// The verdicts.
const (
	// VerdictAgain is for another try at another server.
	VerdictAgain Verdict = "Again"
	// VerdictRefuse ends the call with the promise that it did not run.
	VerdictRefuse Verdict = "Refuse"
	// VerdictFail ends the call, which may have run.
	VerdictFail Verdict = "Fail"
)

const (
	// maxUnsent bounds the tries that reached no server.
	maxUnsent = 4
	// maxDeclined bounds the tries that servers declined to run.
	maxDeclined = 2
	// minTimeLeft is the time below which another try cannot succeed.
	minTimeLeft = 20 * time.Millisecond
)

// State is the tries of one call so far.
type State struct {
	repeatable bool
	maxRuns    int
	deadline   time.Time
	// mayHaveRun is the number of tries that may have run.
	mayHaveRun int
	unsent     int
	declined   int
}

// New returns the state of a call that was not tried yet.
func New(route route.Route, deadline time.Time) State {
	return State{repeatable: route.Repeatable(), maxRuns: max(1, route.Attempts), deadline: deadline}
}

// Arrived returns the number of tries that reached a server.
func (state State) Arrived() int { return state.mayHaveRun + state.declined }

// MayHave reports whether the call may have run.
func (state State) MayHave() bool { return state.mayHaveRun > 0 }

// WithFailure returns the state after a try failed, and what follows.
func (state State) WithFailure(failure *call.Failure, now time.Time) (State, Verdict) {
	switch {
	case failure.Ran != call.RanNot:
		state.mayHaveRun++
	case failure.Cause == call.CauseBusy:
		state.declined++
	default:
		state.unsent++
	}
	return state, state.verdict(failure, now)
}

func (state State) verdict(failure *call.Failure, now time.Time) Verdict {
	end := VerdictRefuse
	if state.mayHaveRun > 0 {
		end = VerdictFail
	}
	switch {
	case failure.Cause == call.CauseCancelled, state.deadline.Sub(now) < minTimeLeft:
		return end
	case state.mayHaveRun > 0 && (!state.repeatable || state.mayHaveRun >= state.maxRuns):
		return end
	case state.unsent >= maxUnsent || state.declined >= maxDeclined:
		return end
	}
	return VerdictAgain
}
