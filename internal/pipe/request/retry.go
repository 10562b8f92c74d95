package request

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// StepRetry is the step of [Retry] in decisions and errors.
const StepRetry = "retry"

// Retry makes further attempts after failed ones within the service's retry budget, until
// the request's deadline.
//
// A completion that was cut off resumes after the tokens that the caller already has,
// unless the policy restarts it. Each attempt uses the latest fleet snapshot, because
// servers of an earlier one may have left; the configuration stays that of the first
// attempt.
func Retry(retryStates *RetryStates, views ViewSource, random backend.Random, policy retry.ResumePolicy) Filter {
	return func(next Handler) Handler {
		retrier := retrier{retryStates: retryStates, views: views, random: random, policy: policy, next: next}
		return HandlerFunc(retrier.handle)
	}
}

// retrier is the handler of [Retry].
type retrier struct {
	retryStates *RetryStates
	views       ViewSource
	random      backend.Random
	policy      retry.ResumePolicy
	next        Handler
}

// handle makes attempts until one succeeds, or fails without a further attempt.
func (retrier retrier) handle(ctx context.Context, exchange Exchange) (Exchange, error) {
	original := exchange.Request
	exchange = exchange.WithProgress(stream.New(original.Completion.Resume))
	// The caller gets the most severe failure: the request may have run if any of its attempts
	// may have run.
	var worstFailure, lastFailure *call.Failure
	for tries := 1; ; tries++ {
		result, err := retrier.next.Handle(ctx, exchange)
		result = result.WithRequest(original)
		if err == nil {
			now := time.Now()
			retrier.retryStates.cell(exchange.Service.Name).Update(func(state retry.State) retry.State { return state.WithSuccess(now, result.Progress.Next()) })
			return result, nil
		}
		failure, refused, ok := failureOf(err, lastFailure)
		if !ok {
			return result, err
		}
		if refused && isQuarantined(err) {
			return result, worstFailure
		}
		attempt := retry.FailedAttempt{
			Repeat:   retry.RepeatPolicyOf(result.Service, original),
			Failure:  *failure,
			Deadline: original.Deadline,
			Refused:  refused,
			Tries:    tries,
		}
		lastFailure, worstFailure = failure, retry.MoreSevere(worstFailure, failure)
		result, ok = retrier.prepare(ctx, result, attempt)
		if !ok {
			return result, worstFailure
		}
		exchange = retrier.nextAttempt(result)
	}
}

// failureOf returns the failure that err represents, or false for an error that a retry
// cannot change.
//
// A refusal after a failed attempt represents the failure of that attempt, lastFailure,
// because the request as a whole may have run.
func failureOf(err error, lastFailure *call.Failure) (failure *call.Failure, refused, ok bool) {
	if errors.As(err, &failure) {
		return failure, false, true
	}
	var refusal *call.Refusal
	if lastFailure != nil && errors.As(err, &refusal) {
		return lastFailure, true, true
	}
	return nil, false, false
}

// isQuarantined reports whether err refuses a quarantined request. A quarantine lasts longer
// than any request, so waiting for its end would only delay the caller.
func isQuarantined(err error) bool {
	var refusal *call.Refusal
	return errors.As(err, &refusal) && refusal.Reason == call.ReasonQuarantined
}

// prepare waits until the next attempt may start, or returns false when the request ends
// without a further attempt.
func (retrier retrier) prepare(ctx context.Context, exchange Exchange, attempt retry.FailedAttempt) (Exchange, bool) {
	failure := attempt.Failure
	for ; ; attempt.Backoffs++ {
		exchange = exchange.WithView(View{Config: exchange.View.Config, Fleet: retrier.views.View().Fleet})
		attempt.Candidates, attempt.Untried = countUntried(exchange)
		server, known := exchange.View.Fleet.Server(exchange.Server.Name)
		attempt.ServerLeaving = !known || server.Leaving
		now, jitter := time.Now(), float64(retrier.random.IntN(jitterSteps))/jitterSteps
		_, plan := rcu.Apply(retrier.retryStates.cell(exchange.Service.Name), func(state retry.State) (retry.State, retry.Plan) {
			return state.WithFailure(now, attempt, jitter)
		})
		if attempt.Backoffs == 0 || plan.Action != retry.ActionWait {
			exchange = exchange.WithDecision(Decision{
				At: now, Step: StepRetry, Reason: string(plan.Reason), Peer: failure.Peer,
				Detail: fmt.Sprintf("%s after attempt %d (%s, %s) and %d waits", plan.Action, attempt.Tries, failure.Cause, failure.Ran, attempt.Backoffs),
			})
		}
		switch plan.Action {
		case retry.ActionRetry:
			if attempt.Untried == 0 {
				exchange = exchange.WithoutTriedServers()
			}
			return exchange, true
		case retry.ActionAbandon:
			return exchange, false
		case retry.ActionWait:
			if pause.For(ctx, plan.Wait) != nil {
				return exchange, false
			}
		}
	}
}

// jitterSteps is the number of steps into which the random part of a wait is divided.
const jitterSteps = 1000

// nextAttempt returns the exchange for the next attempt. A completion that was cut off
// continues there, unless the policy restarts it.
func (retrier retrier) nextAttempt(exchange Exchange) Exchange {
	exchange = exchange.WithProgress(exchange.Progress.WithoutHeld())
	if exchange.Service.Protocol != config.ProtocolEngine || retrier.policy == retry.PolicyRestart {
		return exchange
	}
	return exchange.WithRequest(exchange.Request.WithResume(exchange.Progress.Resume()))
}

// countUntried returns the number of servers that accept work of the service, and the number
// of those that were not tried.
func countUntried(exchange Exchange) (candidates, untried int) {
	servers := exchange.View.Fleet.Candidates(exchange.Service.Name)
	for _, server := range servers {
		if !slices.Contains(exchange.TriedServers, server.Name) {
			untried++
		}
	}
	return len(servers), untried
}
