package retry

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

const (
	// backoffBase is the first backoff, close to the time in which a server's restart
	// or a new list of servers can change the outcome.
	backoffBase = 50 * time.Millisecond
	// maxBackoff is the longest backoff, so that a retry follows a recovery within about a second.
	maxBackoff = time.Second
	// maxFreeTries is the number of tries of a request that are not charged because no
	// server was reached. Each connection timeout takes a second, so these tries end within
	// about 8 s.
	maxFreeTries = 8
)

// State holds the retry budgets and latencies of one service at one entry; the zero
// value is the state before the first request.
type State struct {
	Budget    Budget
	Recompute RecomputeBudget
	Latency   LatencyStats
}

// ResumePolicy determines how a completion continues after its stream broke off.
type ResumePolicy string

// The policies for completions whose stream broke off.
const (
	// PolicyResume sends the prompt with the tokens received so far.
	PolicyResume ResumePolicy = "Resume"
	// PolicyRestart sends the prompt alone; it exists as a baseline for comparisons.
	PolicyRestart ResumePolicy = "Restart"
)

// FailedAttempt describes a failed try and the options left for a retry.
type FailedAttempt struct {
	Repeat   config.RepeatPolicy
	Failure  call.Failure
	Deadline time.Time
	// Refused reports that the last try was refused before anything was sent to a server;
	// Failure is then the failure of the try before it.
	Refused bool
	// ServerLeaving reports that the server was known to be leaving when the try failed.
	ServerLeaving bool
	// Tries counts the tries so far.
	Tries int
	// Backoffs counts the backoffs since the try failed.
	Backoffs int
	// Candidates is the number of servers that accept the request, Untried the number
	// of those that have not been tried yet.
	Candidates int
	Untried    int
}

// Action is the next step after a failed try.
type Action string

// The actions after a failed try.
const (
	ActionRetry   Action = "Retry"
	ActionWait    Action = "Wait"
	ActionAbandon Action = "GiveUp"
)

// Reason is the reason for which an action was chosen.
type Reason string

// The reasons for an action.
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

// Plan is the decision after a failed try.
type Plan struct {
	Action Action
	Reason Reason
	// Wait is the time after which to call [State.WithFailure] again; set for ActionWait only.
	Wait time.Duration
}

// WithSuccess returns the state after a request was answered with the given number of tokens.
func (state State) WithSuccess(now time.Time, tokens int) State {
	state.Budget = state.Budget.WithSuccess(now)
	state.Recompute = state.Recompute.WithDelivered(now, tokens)
	return state
}

// WithFirstToken returns the state with one more time to the first token, or to the answer of a plain service.
func (state State) WithFirstToken(first time.Duration) State {
	state.Latency = state.Latency.WithFirstToken(first)
	return state
}

// WithAborted returns the state after a try that was cancelled after elapsed, before its first token or answer.
func (state State) WithAborted(elapsed time.Duration) State {
	state.Latency = state.Latency.WithAborted(elapsed)
	return state
}

// WithGap returns the state after a stream with the given mean gap between chunks.
func (state State) WithGap(gap time.Duration) State {
	state.Latency = state.Latency.WithGap(gap)
	return state
}

// WithHedge returns the state after a hedge, or false if the budget does not allow one.
func (state State) WithHedge(now time.Time) (State, bool) {
	budget, ok := state.Budget.WithHedge(now)
	state.Budget = budget
	return state, ok
}

// WithFailure returns the state and the plan after a failed try.
//
// Jitter is a random number in [0, 1) that spreads backoffs. Only ActionRetry charges
// the budget, and a retry that was refused is refunded; the wait after a refusal
// prevents a tight loop of such retries. Three kinds of retries are not charged:
//
//   - Retries of requests that ran at a server known to be leaving. The server
//     accepts no new requests, so there are at most as many of these retries as
//     requests were in progress at the notice. Long streams, of which few end per
//     second, would otherwise wait for the budget until their deadline.
//   - The first retries of requests that reached no server, at servers not yet
//     tried. They add no load, and while most servers are gone and few requests
//     succeed, the budget would delay each of them by seconds.
//   - Moves away from a slow server, which [State.WithRelocation] has charged.
func (state State) WithFailure(now time.Time, attempt FailedAttempt, jitter float64) (State, Plan) {
	if attempt.Refused && !attempt.ServerLeaving && !attempt.qualifiesForFreeRetry() && attempt.Backoffs == 0 {
		state.Budget = state.Budget.WithRefund(now)
	}
	switch {
	case attempt.Failure.Cause == call.CauseCancelled:
		return state, Plan{Action: ActionAbandon, Reason: ReasonCancelled}
	case attempt.Failure.Ran != call.RanNo && attempt.Repeat == config.RepeatNever:
		return state, Plan{Action: ActionAbandon, Reason: ReasonNotRepeatable}
	case !now.Before(attempt.Deadline):
		return state, Plan{Action: ActionAbandon, Reason: ReasonDeadline}
	case attempt.Candidates == 0 || (attempt.Refused && attempt.Backoffs == 0):
		return state, waitPlan(now, attempt, jitter, ReasonNoCandidate)
	case attempt.Untried == 0 && attempt.Backoffs == 0:
		return state, waitPlan(now, attempt, jitter, ReasonAllTried)
	case attempt.ServerLeaving:
		return state, Plan{Action: ActionRetry, Reason: ReasonAnnounced}
	case attempt.qualifiesForFreeRetry() && attempt.Untried > 0 && !attempt.Refused:
		return state, Plan{Action: ActionRetry, Reason: ReasonNotReached}
	case attempt.Failure.Cause == call.CauseSlowed && !attempt.Refused:
		return state, Plan{Action: ActionRetry, Reason: ReasonSlowed}
	}
	budget, ok := state.Budget.WithSpend(now)
	state.Budget = budget
	if !ok {
		return state, waitPlan(now, attempt, jitter, ReasonBudget)
	}
	return state, Plan{Action: ActionRetry, Reason: ReasonRepeatable}
}

// qualifiesForFreeRetry reports whether the failed try reached no server and is among the
// first maxFreeTries, so that its retry is not charged.
func (failedAttempt FailedAttempt) qualifiesForFreeRetry() bool {
	tries := failedAttempt.Tries
	if failedAttempt.Refused {
		tries-- // the refused try sent nothing; Failure belongs to the try before it
	}
	return failedAttempt.Failure.Ran == call.RanNo && failedAttempt.Failure.Cause == call.CauseConnect && tries <= maxFreeTries
}

// waitPlan returns a plan with a backoff that doubles with each try and each wait, or
// one that abandons the request if the backoff would end after the deadline.
func waitPlan(now time.Time, attempt FailedAttempt, jitter float64, reason Reason) Plan {
	doublings := min(attempt.Tries-1+attempt.Backoffs, 10)
	maxPause := min(maxBackoff, backoffBase*time.Duration(math.Exp2(float64(doublings))))
	pause := maxPause/2 + time.Duration(jitter*float64(maxPause/2))
	if now.Add(pause).After(attempt.Deadline) {
		return Plan{Action: ActionAbandon, Reason: ReasonDeadline}
	}
	return Plan{Action: ActionWait, Reason: reason, Wait: pause}
}
