package forward

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// The reasons of decisions that say what became of an attempt or its call.
const (
	// ReasonEndedWithConnection means that an answer is complete because its connection has ended.
	ReasonEndedWithConnection = "EndedWithConnection"
	// ReasonResumed means that a stream goes on at another server after the events that were passed on.
	ReasonResumed = "Resumed"
	// ReasonBudgetSpent means that the retry budget of the service allows no other attempt.
	ReasonBudgetSpent = "BudgetSpent"
	// ReasonStatusPassedOn means that the caller gets the complete answer with a failure status that was kept from an earlier attempt.
	ReasonStatusPassedOn = "StatusPassedOn"
	// ReasonBrokenOff means that the answer was broken off towards its caller, who has its head.
	ReasonBrokenOff = "BrokenOff"
	// ReasonCallerLeft means that the caller disconnected before it had the whole answer.
	ReasonCallerLeft = "CallerLeft"
	// ReasonRefused and ReasonFailed mean that the caller, who has nothing of an answer, gets an error.
	ReasonRefused = "Refused"
	ReasonFailed  = "Failed"
)

// withResume returns the exchange, whose attempt is about to be sent, with the decision that a stream of which the caller has a
// part goes on at the target.
func withResume(exchange request.Exchange, relay *relay) request.Exchange {
	if !relay.headSent {
		return exchange
	}
	return withDeliverDecision(exchange, ReasonResumed, exchange.Target.ID, lastEvent(relay))
}

// withError returns the exchange of a call that ends with err, with the decision that says what its caller gets.
func withError(exchange request.Exchange, relay *relay, err error) request.Exchange {
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case errors.As(err, &refusal):
		return withDeliverDecision(exchange, ReasonRefused, "", string(refusal.Reason))
	case !errors.As(err, &failure):
		return exchange
	case relay.headSent:
		return withDeliverDecision(exchange, ReasonBrokenOff, failure.Peer, lastEvent(relay))
	}
	return withDeliverDecision(exchange, ReasonFailed, failure.Peer, string(failure.Cause))
}

// withRelayEnd returns the exchange after an answer was relayed whole, or to a caller that has left. A decision says if only the end of a
// connection shows that the answer is complete, so that an answer which lacks its end can be traced to that.
func withRelayEnd(exchange request.Exchange, relay *relay) request.Exchange {
	switch {
	case relay.callerErr != nil:
		return withDeliverDecision(exchange, ReasonCallerLeft, exchange.Target.ID, lastEvent(relay))
	case !relay.endsWithConnection:
		return exchange
	}
	detail := "the answer has neither a length nor chunks"
	if last := relay.eventIDs.Last(); last != "" {
		detail += "; its last event is " + last
	}
	return withDeliverDecision(exchange, ReasonEndedWithConnection, exchange.Target.ID, detail)
}

// end returns what the caller of a call that is not sent again gets, with the decision that says so.
func end(exchange request.Exchange, relay *relay, verdict attempt.Verdict, failure *call.Failure) (request.Exchange, error) {
	switch {
	case relay.buffered != nil:
		exchange = withDeliverDecision(exchange, ReasonStatusPassedOn, "", strconv.Itoa(relay.buffered.head.Status))
		return exchange, relay.flush()
	case verdict == attempt.VerdictRefuse && !relay.headSent:
		refusal := refusalOf(failure)
		return withError(exchange, relay, refusal), refusal
	}
	return withError(exchange, relay, failure), failure
}

// lastEvent says after which event of a stream something happened.
func lastEvent(relay *relay) string {
	if last := relay.eventIDs.Last(); last != "" {
		return fmt.Sprintf("after event %q", last)
	}
	return "before the first event"
}

// withDeliverDecision returns the exchange with a decision of [Delivery].
func withDeliverDecision(exchange request.Exchange, reason, peer, detail string) request.Exchange {
	return exchange.WithDecision(request.Decision{At: time.Now(), Step: StepDeliver, Reason: reason, Peer: peer, Detail: detail})
}
