package request

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// StepRelay names the relay of an answer in decisions and errors.
const StepRelay = "relay"

// Relay passes an engine's answer on once and in order, and ends a try whose
// stream stalls, or goes on sooner at another server.
//
// It stands after the choice of the server, and learns the usual times of the
// service. The client behind it must return soon after its context ends, and
// must not call the sink from two threads at once or after it has returned.
func Relay(recovery *Recovery) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if exchange.Sent != nil {
				exchange.Sent.Store(exchange.Server.Name)
			}
			if exchange.Service.Protocol == config.ProtocolEngine {
				return relayStream(ctx, recovery, exchange, next)
			}
			return relayAnswer(ctx, recovery, exchange, next)
		})
	}
}

// relayAnswer waits for the answer of a plain service. Only work that may be
// hedged is given up when the server does not answer in the usual time.
func relayAnswer(ctx context.Context, recovery *Recovery, exchange Exchange, next Handler) (Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	service, begin := exchange.Service.Name, time.Now()
	if retry.MayHedge(retry.Repeat(exchange.Service, exchange.Request)) {
		waited := func() (time.Time, time.Duration) { return begin, recovery.State(service).Pace.FirstAfter() }
		go watchPauses(ctx, waited, func(limit time.Duration) bool {
			if !recovery.allowsRetry(service) {
				return false
			}
			cancel(relayFailure(exchange, call.RanUnknown, call.CauseStalled, "no answer for "+limit.String()))
			return true
		})
	}
	result, err := next.Handle(ctx, exchange)
	var failure *call.Failure
	switch {
	case err == nil:
		recovery.recordFirst(service, time.Since(begin))
	case ctx.Err() != nil:
		recovery.recordCancelled(service, time.Since(begin))
		if errors.As(context.Cause(ctx), &failure) {
			return result, failure
		}
	}
	return result, err
}

func relayStream(ctx context.Context, recovery *Recovery, exchange Exchange, next Handler) (Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	relaySink := newRelaySink(recovery, exchange)
	go watchPauses(ctx, relaySink.stallPause, func(limit time.Duration) bool {
		if !recovery.allowsRetry(exchange.Service.Name) {
			return false
		}
		cancel(relayFailure(exchange, call.RanYes, call.CauseStalled, "no chunk for "+limit.String()))
		return true
	})
	go watchPauses(ctx, relaySink.relocationPause, func(limit time.Duration) bool {
		if !relaySink.chargeRelocation() {
			return false
		}
		cancel(relayFailure(exchange, call.RanYes, call.CauseSlowed, "no chunk for "+limit.String()+" at a slowed server"))
		return true
	})
	result, err := next.Handle(ctx, exchange.WithSink(relaySink))
	state := relaySink.state.Load()
	recovery.recordStream(exchange.Service.Name, state, ctx.Err() != nil)
	result = result.WithSink(exchange.Sink).WithProgress(state.progress).WithRecomputed(state.recomputed())
	var failure *call.Failure
	switch {
	case state.progress.Finished():
		return result, state.callerGone
	case state.callerGone != nil:
		return result, state.callerGone
	case state.malformed != nil:
		return result, state.malformed
	case errors.As(context.Cause(ctx), &failure):
		return result, failure
	case err == nil:
		return result, relayFailure(exchange, call.RanYes, call.CauseReset, "the stream ended without its end marker")
	default:
		return result, err
	}
}

func relayFailure(exchange Exchange, ran call.Ran, cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: ran, Cause: cause, Step: StepRelay, Peer: exchange.Server.Name, Detail: detail}
}

func (recovery *Recovery) recordFirst(service string, first time.Duration) {
	recovery.cell(service).Update(func(state retry.State) retry.State { return state.WithFirst(first) })
}

// recordCancelled takes in a try that was ended after elapsed while its answer was awaited.
func (recovery *Recovery) recordCancelled(service string, elapsed time.Duration) {
	recovery.cell(service).Update(func(state retry.State) retry.State { return state.WithSlow(elapsed) })
}

// recordStream takes in the times of a try. A try that ended before its first
// chunk teaches something only when it was ended for its slowness.
func (recovery *Recovery) recordStream(service string, state relayState, ended bool) {
	switch {
	case state.chunks > 0:
		recovery.recordFirst(service, state.firstChunkAt.Sub(state.sentAt))
	case ended:
		recovery.recordCancelled(service, time.Since(state.sentAt))
	}
	if state.chunks > 1 {
		gap := state.lastChunkAt.Sub(state.firstChunkAt) / time.Duration(state.chunks-1)
		recovery.cell(service).Update(func(state retry.State) retry.State { return state.WithGap(gap) })
	}
}
