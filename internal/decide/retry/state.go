package retry

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

const (
	// backoffBase is the first wait, near the time in which a server's restart or
	// a new fleet snapshot can change the outcome.
	backoffBase = 50 * time.Millisecond
	// backoffLimit bounds a wait, so that a retry follows a recovery within about a second.
	backoffLimit = time.Second
	// maxFreeTries bounds the tries of a request that are not charged because no
	// server was reached; a connection that times out takes a second each.
	maxFreeTries = 8
)

// State is what one entry has learned of one service; the zero value knows nothing.
type State struct {
	Budget  Budget
	Rework  Rework
	Latency LatencyStats
}

// ResumePolicy says how a cut-off completion goes on.
type ResumePolicy string

// The policies for cut-off completions.
const (
	// PolicyResume sends the tokens so far with the prompt.
	PolicyResume ResumePolicy = "Resume"
	// PolicyRestart sends the prompt alone; it exists to be compared with.
	PolicyRestart ResumePolicy = "Restart"
)

// FailedAttempt is a try that failed, and what is left to try.
type FailedAttempt struct {
	Repeat   config.RepeatPolicy
	Failure  call.Failure
	Deadline time.Time
	// Refused reports that the last try was refused before anything was sent, and
	// that Failure is that of the try before it.
	Refused bool
	// Announced reports that the failed server was known to be leaving.
	Announced bool
	// Tries counts the tries so far.
	Tries int
	// Waits counts the waits since the try failed.
	Waits int
	// Candidates and Untried count the servers that take work, and those not yet tried.
	Candidates int
	Untried    int
}

// Action is what follows a failed try.
type Action string

// The actions after a failed try.
const (
	ActionRetry   Action = "Retry"
	ActionWait    Action = "Wait"
	ActionAbandon Action = "GiveUp"
)

// Reason says why an action was chosen.
type Reason string

// The reasons of a plan.
const (
	ReasonRepeatable    Reason = "Repeatable"
	ReasonAnnounced     Reason = "Announced"
	ReasonNotReached    Reason = "NotReached"
	ReasonSlowed        Reason = "Slowed"
	ReasonNotRepeatable Reason = "NotRepeatable"
	ReasonCancelled     Reason = "Cancelled"
	ReasonDeadline      Reason = "Deadline"
	ReasonNoCandidate   Reason = "NoCandidate"
	ReasonAllTried      Reason = "AllTried"
	ReasonBudget        Reason = "Budget"
)

// Plan is what to do after a failed try.
type Plan struct {
	Action Action
	Reason Reason
	// Wait is the time after which to ask again, with ActionWait only.
	Wait time.Duration
}

// WithSuccess returns the state after a request was answered, with that many tokens.
func (state State) WithSuccess(now time.Time, tokens int) State {
	state.Budget = state.Budget.WithSuccess(now)
	state.Rework = state.Rework.WithDelivered(now, tokens)
	return state
}

// WithFirstToken returns the state after a first token, or an answer of a plain service.
func (state State) WithFirstToken(first time.Duration) State {
	state.Latency = state.Latency.WithFirstToken(first)
	return state
}

// WithAborted returns the state after a try that was ended after elapsed while it waited.
func (state State) WithAborted(elapsed time.Duration) State {
	state.Latency = state.Latency.WithAborted(elapsed)
	return state
}

// WithGap returns the state after a stream with that mean gap between chunks.
func (state State) WithGap(gap time.Duration) State {
	state.Latency = state.Latency.WithGap(gap)
	return state
}

// WithHedge returns the state after a hedge, or false when the budget has none left.
func (state State) WithHedge(now time.Time) (State, bool) {
	budget, ok := state.Budget.WithHedge(now)
	state.Budget = budget
	return state, ok
}

// WithFailure returns the state and the plan after a failed try.
//
// Jitter is a random number in [0, 1). The budget is charged with ActionRetry
// only, and gets the charge back for a retry that was refused; the wait after
// a refusal keeps such retries from following one another at once. A retry of
// work at a server that was known to be leaving is free: the server takes no new
// work, so these retries are at most the work in progress at the notice, and
// long streams, of which few end per second, would wait out their deadline for
// the budget. So are the first retries of work that reached no server, at servers
// not yet tried: they add no load, and while most servers are gone and few
// requests succeed, the budget would make each of them wait for seconds. A move off a slowed server was charged by [State.WithRelocation].
func (state State) WithFailure(now time.Time, attempt FailedAttempt, jitter float64) (State, Plan) {
	if attempt.Refused && !attempt.Announced && !attempt.notReached() && attempt.Waits == 0 {
		state.Budget = state.Budget.WithRefund(now)
	}
	switch {
	case attempt.Failure.Cause == call.CauseCancelled:
		return state, Plan{Action: ActionAbandon, Reason: ReasonCancelled}
	case attempt.Failure.Ran != call.RanNot && attempt.Repeat == config.RepeatNever:
		return state, Plan{Action: ActionAbandon, Reason: ReasonNotRepeatable}
	case !now.Before(attempt.Deadline):
		return state, Plan{Action: ActionAbandon, Reason: ReasonDeadline}
	case attempt.Candidates == 0 || (attempt.Refused && attempt.Waits == 0):
		return state, wait(now, attempt, jitter, ReasonNoCandidate)
	case attempt.Untried == 0 && attempt.Waits == 0:
		return state, wait(now, attempt, jitter, ReasonAllTried)
	case attempt.Announced:
		return state, Plan{Action: ActionRetry, Reason: ReasonAnnounced}
	case attempt.notReached() && attempt.Untried > 0 && !attempt.Refused:
		return state, Plan{Action: ActionRetry, Reason: ReasonNotReached}
	case attempt.Failure.Cause == call.CauseSlowed && !attempt.Refused:
		return state, Plan{Action: ActionRetry, Reason: ReasonSlowed}
	}
	budget, ok := state.Budget.WithSpend(now)
	state.Budget = budget
	if !ok {
		return state, wait(now, attempt, jitter, ReasonBudget)
	}
	return state, Plan{Action: ActionRetry, Reason: ReasonRepeatable}
}

// notReached reports that the failed try reached no server, and was early enough to be free.
func (failedAttempt FailedAttempt) notReached() bool {
	tries := failedAttempt.Tries
	if failedAttempt.Refused {
		tries-- // the refused try sent nothing; the failure is that of the one before
	}
	return failedAttempt.Failure.Ran == call.RanNot && failedAttempt.Failure.Cause == call.CauseConnect && tries <= maxFreeTries
}

// wait plans a wait that doubles with each try and each wait, unless the deadline comes first.
func wait(now time.Time, attempt FailedAttempt, jitter float64, reason Reason) Plan {
	doublings := min(attempt.Tries-1+attempt.Waits, 10)
	longest := min(backoffLimit, backoffBase*time.Duration(math.Exp2(float64(doublings))))
	pause := longest/2 + time.Duration(jitter*float64(longest/2))
	if now.Add(pause).After(attempt.Deadline) {
		return Plan{Action: ActionAbandon, Reason: ReasonDeadline}
	}
	return Plan{Action: ActionWait, Reason: reason, Wait: pause}
}
