package forward

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// recordTimeToHead records the time from sending the call to the head of its answer, which has just arrived. OnlyCall reports whether the
// call was this entry's only one at the server.
func (delivery *admittedDelivery) recordTimeToHead(exchange request.Exchange, choice placement.Choice, head call.AnswerHead, onlyCall bool) {
	elapsed, server, demand := time.Since(delivery.callWork.sentAt), choice.Server, delivery.dependencies.Demand
	if onlyCall {
		demand.RecordPrefill(server.Service, choice.UncachedTokens, elapsed)
	}
	ratio := demand.LatencyRatio(exchange.Route.Name, choice.UncachedTokens, elapsed)
	now, readRatio := delivery.dependencies.Clock.Now(), 0.0
	if head.Status < http.StatusMultipleChoices && !head.NotExecuted {
		readRatio = delivery.callWork.answer(ratio)
	}
	delivery.dependencies.Observations.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithAnswer(ratio, now).WithWork(func(server work.Server) work.Server { return server.WithRead(readRatio, now) })
	})
}

// isOnlyCall reports whether the call in progress at the server is the only one of this entry.
func (delivery *Delivery) isOnlyCall(server directory.Server) bool {
	return delivery.dependencies.Observations.Candidates([]directory.Server{server})[0].Observation.Running() == 1
}

// checkHead records the load that the head of an answer reports, and returns a failure if
// the server did not run the call.
func (delivery *Delivery) checkHead(exchange request.Exchange, answer Answer) *call.Failure {
	head, server := answer.Head(), exchange.Target
	if head.Load != (call.ServerLoad{}) {
		now := delivery.dependencies.Clock.Now()
		delivery.dependencies.Observations.Update(server, func(observation placement.Observation) placement.Observation {
			return observation.WithLoad(head.Load, now)
		})
	}
	if head.RetryAfter > 0 {
		delivery.recordClosed(exchange, head.RetryAfter)
	}
	if head.Leaving {
		delivery.recordLeaving(exchange, NoticeLeaving)
	}
	switch {
	case head.WrongInstance:
		delivery.recordLeaving(exchange, NoticeReplaced)
		return &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect, Step: StepDeliver, Peer: server.ID, Detail: "the address now belongs to another server"}
	case head.NotExecuted:
		detail := "the server declined to run the call" + retryAfterDetail(head)
		return &call.Failure{Ran: call.RanNo, Cause: call.CauseBusy, Step: StepDeliver, Peer: server.ID, Detail: detail}
	case head.Unsigned:
		const detail = "a success without a signature is no answer of the server"
		return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: StepDeliver, Peer: server.ID, Detail: detail}
	}
	delivery.dependencies.Usage.RecordStarted(exchange.ClientAccount.Name)
	return nil
}

// retryAfterDetail returns how long a server wants no calls, as the end of a sentence, empty if it did not say.
func retryAfterDetail(head call.AnswerHead) string {
	if head.RetryAfter <= 0 {
		return ""
	}
	return fmt.Sprintf(" and wants none for %v", head.RetryAfter)
}

// FailureRecorder counts the failures of attempts by server.
type FailureRecorder interface {
	// RecordFailure counts a failed attempt at a server, whatever becomes of the call, without blocking. A complete answer with the status
	// of a server error counts as [call.CauseStatus], also if it is passed on. An attempt that the caller ended does not count.
	RecordFailure(server directory.Server, cause call.Cause)
}

// recordFailure records the failure of the attempt at the target, nil for none, or the failure status of its answer, 0 for none.
func (delivery *Delivery) recordFailure(exchange request.Exchange, failure *call.Failure, status int) {
	switch {
	case failure != nil && failure.Cause != call.CauseCancelled:
		delivery.dependencies.Failures.RecordFailure(exchange.Target, failure.Cause)
	case failure == nil && status >= http.StatusInternalServerError:
		delivery.dependencies.Failures.RecordFailure(exchange.Target, call.CauseStatus)
	}
}

// recordOutcome records the outcome of an attempt in the observation of the server, and a
// possible crash in the crash trackers. Answered reports whether the server had begun to answer.
func (delivery *Delivery) recordOutcome(exchange request.Exchange, failure *call.Failure, answered bool, parts *PartAttempt) {
	now, server := delivery.dependencies.Clock.Now(), exchange.Target
	cause := call.Cause("")
	if failure != nil {
		cause = failure.Cause
	}
	delivery.dependencies.Observations.Update(server, func(observation placement.Observation) placement.Observation {
		return observation.WithOutcome(cause, answered, now)
	})
	if failure == nil || failure.Cause != call.CauseReset || failure.Ran == call.RanNo {
		return
	}
	delivery.dependencies.Crashes.Record(exchange)
	// The end of a server that is leaving has a reason already, and many leave at once when a failure domain is reclaimed.
	if !delivery.dependencies.Directory.Servers().IsLeaving(server) {
		parts.RecordReset()
	}
}
