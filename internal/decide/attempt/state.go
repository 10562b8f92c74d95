package attempt

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Verdict is the next step after a failed try.
type Verdict string

// The verdicts.
const (
	// VerdictRetry means to try another server.
	VerdictRetry Verdict = "Again"
	// VerdictRefuse means to end the call with the guarantee that it did not run.
	VerdictRefuse Verdict = "Refuse"
	// VerdictFail means to end the call, which may have run.
	VerdictFail Verdict = "Fail"
)

const (
	// maxUnsent is the maximum number of tries that reach no server. A refused connection takes a round trip, and in a
	// wave of crashes a sixth of the servers refuse, which look idle until the entries know.
	maxUnsent = 10
	// maxDeclined is the maximum number of tries that servers decline because they are busy.
	maxDeclined = 2
	// minTimeLeft is the shortest time before the deadline in which another try can succeed.
	minTimeLeft = 20 * time.Millisecond
)

// State counts the tries of one call so far.
type State struct {
	repeatable bool
	maxRuns    int
	deadline   time.Time
	// possibleRuns is the number of tries that may have run on a server.
	possibleRuns int
	// unsent is the number of tries that reached no server.
	unsent int
	// declined is the number of tries that servers declined because they were busy.
	declined int
}

// New returns the state of a call on the route before its first try.
func New(route route.Route, deadline time.Time) State {
	return State{repeatable: route.Repeatable(), maxRuns: max(1, route.Attempts), deadline: deadline}
}

// ServerTries returns the number of tries that reached a server.
func (state State) ServerTries() int { return state.possibleRuns + state.declined }

// MayHaveRun reports whether the call may have run.
func (state State) MayHaveRun() bool { return state.possibleRuns > 0 }

// WithFailure returns the state after a failed try, and the next step.
func (state State) WithFailure(failure *call.Failure, now time.Time) (State, Verdict) {
	switch {
	case failure.Ran != call.RanNo:
		state.possibleRuns++
	case failure.Cause == call.CauseBusy:
		state.declined++
	default:
		state.unsent++
	}
	return state, state.verdict(failure, now)
}

func (state State) verdict(failure *call.Failure, now time.Time) Verdict {
	finalVerdict := VerdictRefuse
	if state.possibleRuns > 0 {
		finalVerdict = VerdictFail
	}
	switch {
	case failure.Cause == call.CauseCancelled, state.deadline.Sub(now) < minTimeLeft:
		return finalVerdict
	case state.possibleRuns > 0 && (!state.repeatable || state.possibleRuns >= state.maxRuns):
		return finalVerdict
	case state.unsent >= maxUnsent || state.declined >= maxDeclined:
		return finalVerdict
	}
	return VerdictRetry
}
