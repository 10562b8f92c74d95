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
	// VerdictRetry is for another try at another server.
	VerdictRetry Verdict = "Again"
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
	// leastTime is the time below which another try cannot succeed.
	leastTime = 20 * time.Millisecond
)

// State is the tries of one call so far.
type State struct {
	repeatable bool
	allowed    int
	deadline   time.Time
	// ran is the number of tries that may have run.
	ran      int
	unsent   int
	declined int
}

// New returns the state of a call that was not tried yet.
func New(route route.Route, deadline time.Time) State {
	return State{repeatable: route.Repeatable(), allowed: max(1, route.Attempts), deadline: deadline}
}

// ReachedServer returns the number of tries that reached a server.
func (state State) ReachedServer() int { return state.ran + state.declined }

// MayHaveRun reports whether the call may have run.
func (state State) MayHaveRun() bool { return state.ran > 0 }

// WithFailure returns the state after a try failed, and what follows.
func (state State) WithFailure(failure *call.Failure, now time.Time) (State, Verdict) {
	switch {
	case failure.Ran != call.RanNot:
		state.ran++
	case failure.Cause == call.CauseBusy:
		state.declined++
	default:
		state.unsent++
	}
	return state, state.verdict(failure, now)
}

func (state State) verdict(failure *call.Failure, now time.Time) Verdict {
	end := VerdictRefuse
	if state.ran > 0 {
		end = VerdictFail
	}
	switch {
	case failure.Cause == call.CauseCancelled, state.deadline.Sub(now) < leastTime:
		return end
	case state.ran > 0 && (!state.repeatable || state.ran >= state.allowed):
		return end
	case state.unsent >= maxUnsent || state.declined >= maxDeclined:
		return end
	}
	return VerdictRetry
}
