package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// admittedDelivery is the delivery of one admitted call over all its attempts. It is used by the goroutine of the call only.
type admittedDelivery struct {
	*Delivery
	service  string
	callWork *callWork
	relay    *relay
	admitted *AdmittedCall
}

// deliver sends the call until an attempt succeeds or no other one is allowed.
func (delivery *admittedDelivery) deliver(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	relay, state := delivery.relay, attempt.New(exchange.Route, exchange.Request.Deadline)
	// unread is the number of prompt tokens that count as demand and that no server has read.
	unread := 0
	// ranAt is the server of the latest attempt that may have run, empty for none.
	ranAt := ""
	for {
		choice, err := delivery.assign(exchange, delivery.service, delivery.callWork.estimate, state)
		if err != nil {
			err = withServer(err, ranAt)
			return withError(exchange, relay, err), err
		}
		exchange = exchange.WithTarget(choice.Server).WithTriedServer(choice.Server.ID)
		exchange = withDeliverDecision(exchange, string(choice.Reason), choice.Server.ID, passedOverDetail(choice))
		exchange = withResume(exchange, relay)
		delivery.dependencies.Estimates.recordChoice(delivery.service, choice.Instead != "")
		delivery.dependencies.Demand.AddPrompt(delivery.service, max(0, choice.UncachedTokens-unread))
		failure := delivery.attempt(ctx, exchange, choice, state)
		if failure == nil {
			return withRelayEnd(exchange, relay), relay.callerErr
		}
		unread = max(unread, choice.UncachedTokens)
		if failure.Ran != call.RanNo {
			unread, ranAt = 0, choice.Server.ID
		}
		var verdict attempt.Verdict
		exchange, state, verdict = delivery.withFailure(exchange, state, failure)
		if verdict != attempt.VerdictRetry {
			return end(exchange, relay, verdict, failure)
		}
		exchange.Request.Opaque.ResumeAfter = relay.eventIDs.Last()
	}
}

// withFailure returns the exchange and the state after a failed attempt, and whether the call is sent again. A retry is taken from the
// retry budget of the service.
func (delivery *admittedDelivery) withFailure(
	exchange request.Exchange, state attempt.State, failure *call.Failure,
) (request.Exchange, attempt.State, attempt.Verdict) {
	exchange = exchange.WithDecision(request.Decision{
		At: time.Now(), Step: failure.Step, Reason: string(failure.Cause) + string(failure.Ran), Peer: failure.Peer, Detail: failure.Detail,
	})
	state, verdict := state.WithFailure(failure, time.Now())
	if !delivery.relay.canContinue() {
		verdict = attempt.VerdictFail
	}
	if verdict == attempt.VerdictRetry && state.ServerTries() > 0 && !delivery.dependencies.RetryBudgets.Spend(delivery.service) {
		verdict = budgetSpentVerdict(state)
		exchange = withDeliverDecision(exchange, ReasonBudgetSpent, "", delivery.service)
	}
	return exchange, state, verdict
}

// budgetSpentVerdict returns the verdict on a call whose retry is not within the budget.
func budgetSpentVerdict(state attempt.State) attempt.Verdict {
	if state.MayHaveRun() {
		return attempt.VerdictFail
	}
	return attempt.VerdictRefuse
}

// passedOverDetail returns which server a choice passes over because of malformed answers, empty for none.
func passedOverDetail(choice placement.Choice) string {
	if choice.PassedOver == "" {
		return ""
	}
	return fmt.Sprintf("passed over %s, since about %.0f%% of its answers are malformed", choice.PassedOver, 100*choice.PassedOverPart)
}

// withServer returns the error, with the server if it is a failure that names none.
func withServer(err error, server string) error {
	var failure *call.Failure
	if errors.As(err, &failure) && failure.Peer == "" {
		return failure.WithPeer(server)
	}
	return err
}

// attempt sends the call to the chosen server and relays its answer.
func (delivery *admittedDelivery) attempt(
	ctx context.Context, exchange request.Exchange, choice placement.Choice, state attempt.State,
) *call.Failure {
	server, relay := choice.Server, delivery.relay
	delivery.callWork.send(server, choice.UncachedTokens)
	complete, answered, parts := false, false, delivery.dependencies.PartCrashes.NewAttempt(exchange)
	defer func() { delivery.callWork.end(complete) }()
	defer delivery.dependencies.Rollouts.end(server)
	relay.answered = func(events int) {
		delivery.callWork.addPiece(events)
		answered = true
		parts.RecordEvents()
	}
	answer, failure := delivery.open(ctx, exchange, choice)
	if failure == nil {
		defer answer.Close()
		failure = delivery.checkHead(exchange, answer)
	}
	if failure == nil {
		delivery.admitted.answered()
		isLastAttempt := !exchange.Route.Repeatable() || state.ServerTries()+1 >= max(1, exchange.Route.Attempts)
		failure = relay.relayAnswer(answer, isLastAttempt)
	}
	failure = atServer(ctx, server.ID, failure)
	status := 0
	if failure == nil {
		if status = answer.Head().Status; status < http.StatusMultipleChoices {
			relay.answered(0)
		}
	}
	complete = failure == nil && relay.callerErr == nil
	if complete && status < http.StatusMultipleChoices {
		parts.RecordEnd()
	}
	delivery.recordFailure(exchange, failure, status)
	delivery.recordVersion(exchange, choice, failure, status)
	delivery.recordOutcome(exchange, failure, answered, parts)
	return failure
}

// open sends the call to the chosen server and waits for the head of its answer. The server then has read the prompt, or will not.
func (delivery *admittedDelivery) open(ctx context.Context, exchange request.Exchange, choice placement.Choice) (Answer, *call.Failure) {
	server, onlyCall := choice.Server, delivery.isOnlyCall(choice.Server)
	answer, failure := delivery.dependencies.Backends.Open(ctx, server, exchange.Request, delivery.repeat(exchange, server))
	delivery.dependencies.Observations.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithPromptRead(choice.UncachedTokens)
	})
	if failure == nil {
		delivery.recordTimeToHead(exchange, choice, answer.Head(), onlyCall)
	}
	return answer, failure
}

// atServer returns the failure of an attempt at a server, nil for none, with the name of the server, and with the cause for which ctx ended
// if it has.
func atServer(ctx context.Context, server string, failure *call.Failure) *call.Failure {
	switch {
	case failure == nil:
		return nil
	case ctx.Err() != nil:
		return &call.Failure{Ran: failure.Ran, Cause: cancelCause(ctx), Step: StepDeliver, Peer: server, Detail: failure.Detail}
	case failure.Peer == "":
		return failure.WithPeer(server)
	}
	return failure
}

// cancelCause returns the cause of an attempt that ended because its context ended.
func cancelCause(ctx context.Context) call.Cause {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return call.CauseTimeout
	}
	return call.CauseCancelled
}
