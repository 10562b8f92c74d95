package request

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// StepRelay is the step of [Relay] in decisions and errors.
const StepRelay = "relay"

// Relay passes each token of an engine's answer on once and in order. It ends an attempt
// whose stream stalls, or whose stream is expected to end sooner if it resumes at another
// server.
//
// It is placed after the choice of the server, and records the usual times of the
// service in [RetryStates]. The client that it calls must return soon after its context
// ends, and must not call the sink concurrently or after it has returned.
func Relay(retryStates *RetryStates) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if exchange.SentTo != nil {
				exchange.SentTo.Store(exchange.Server.Name)
			}
			if exchange.Service.Protocol == config.ProtocolEngine {
				return relayStream(ctx, retryStates, exchange, next)
			}
			return relayAnswer(ctx, retryStates, exchange, next)
		})
	}
}

// relayAnswer waits for the answer of a plain service. An attempt without an answer in
// the usual time is cancelled only if the request may be hedged, that is, may run twice.
func relayAnswer(ctx context.Context, retryStates *RetryStates, exchange Exchange, next Handler) (Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	service, sentAt := exchange.Service.Name, time.Now()
	if retry.MayHedge(retry.RepeatPolicyOf(exchange.Service, exchange.Request)) {
		answerPause := func() (time.Time, time.Duration) {
			return sentAt, retryStates.State(service).Latency.FirstTokenTimeout()
		}
		go watchPauses(ctx, answerPause, nil, func(limit time.Duration) bool {
			if !retryStates.allowsRetry(service) {
				return false
			}
			cancel(relayFailure(exchange, call.RanUnknown, call.CauseStalled, "the server did not answer within "+limit.String()))
			return true
		})
	}
	result, err := next.Handle(ctx, exchange)
	var failure *call.Failure
	switch {
	case err == nil:
		retryStates.recordFirstToken(service, time.Since(sentAt))
	case ctx.Err() != nil:
		retryStates.recordCancelled(service, time.Since(sentAt))
		if errors.As(context.Cause(ctx), &failure) {
			return result, failure
		}
	}
	return result, err
}

// relayStream relays the answer of an engine, and watches for stalls and slowed servers.
func relayStream(ctx context.Context, retryStates *RetryStates, exchange Exchange, next Handler) (Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	relaySink := newRelaySink(retryStates, exchange)
	go watchPauses(ctx, relaySink.stallPause, relaySink.started, func(limit time.Duration) bool {
		if !retryStates.allowsRetry(exchange.Service.Name) {
			return false
		}
		cancel(relayFailure(exchange, call.RanYes, call.CauseStalled, "the stream stalled: no chunk within "+limit.String()))
		return true
	})
	go watchPauses(ctx, relaySink.relocationPause, nil, func(limit time.Duration) bool {
		if !relaySink.chargeRelocation() {
			return false
		}
		cancel(relayFailure(exchange, call.RanYes, call.CauseSlowed, "the stream is relocated: no chunk within "+limit.String()+" from a slowed server"))
		return true
	})
	result, err := next.Handle(ctx, exchange.WithSink(relaySink))
	state := relaySink.state.Load()
	retryStates.recordStream(exchange.Service.Name, state, ctx.Err() != nil)
	result = result.WithSink(exchange.Sink).WithProgress(state.progress).WithRecomputedTokens(state.recomputed())
	var failure *call.Failure
	switch {
	case state.progress.Finished():
		return result, state.callerErr
	case state.callerErr != nil:
		return result, state.callerErr
	case state.malformedErr != nil:
		return result, state.malformedErr
	case errors.As(context.Cause(ctx), &failure):
		return result, failure
	case err == nil:
		return result, relayFailure(exchange, call.RanYes, call.CauseReset, "the stream ended without its end marker")
	default:
		return result, err
	}
}

// relayFailure returns a failure of the current attempt at the step [StepRelay].
func relayFailure(exchange Exchange, ran call.Ran, cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: ran, Cause: cause, Step: StepRelay, Peer: exchange.Server.Name, Detail: detail}
}

// recordFirstToken records the time from sending an attempt to its first chunk, or to the
// answer of a plain service.
func (retryStates *RetryStates) recordFirstToken(service string, elapsed time.Duration) {
	retryStates.cell(service).Update(func(state retry.State) retry.State { return state.WithFirstToken(elapsed) })
}

// recordCancelled records an attempt that was cancelled after elapsed, before its first
// chunk or its answer.
func (retryStates *RetryStates) recordCancelled(service string, elapsed time.Duration) {
	retryStates.cell(service).Update(func(state retry.State) retry.State { return state.WithAborted(elapsed) })
}

// recordStream records the times of an attempt. Of the attempts that ended before their first
// chunk, only the cancelled ones are recorded, as taking at least the time until then. The
// time to a failure says nothing about how fast the server answers.
func (retryStates *RetryStates) recordStream(service string, state relayState, cancelled bool) {
	switch {
	case state.chunkCount > 0:
		retryStates.recordFirstToken(service, state.firstChunkAt.Sub(state.sentAt))
	case cancelled:
		retryStates.recordCancelled(service, time.Since(state.sentAt))
	}
	if state.chunkCount > 1 {
		gap := state.lastChunkAt.Sub(state.firstChunkAt) / time.Duration(state.chunkCount-1)
		retryStates.cell(service).Update(func(state retry.State) retry.State { return state.WithGap(gap) })
	}
}
