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
func Relay(recovery *RetryStates) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if exchange.SentTo != nil {
				exchange.SentTo.Store(exchange.Server.Name)
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
func relayAnswer(ctx context.Context, recovery *RetryStates, exchange Exchange, next Handler) (Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	service, begin := exchange.Service.Name, time.Now()
	if retry.MayHedge(retry.RepeatPolicyOf(exchange.Service, exchange.Request)) {
		waited := func() (time.Time, time.Duration) { return begin, recovery.State(service).Latency.FirstTokenTimeout() }
		go watch(ctx, waited, func(limit time.Duration) bool {
			if !recovery.allows(service) {
				return false
			}
			cancel(failed(exchange, call.RanUnknown, call.CauseStalled, "no answer for "+limit.String()))
			return true
		})
	}
	result, err := next.Handle(ctx, exchange)
	var failure *call.Failure
	switch {
	case err == nil:
		recovery.learnFirst(service, time.Since(begin))
	case ctx.Err() != nil:
		recovery.learnSlow(service, time.Since(begin))
		if errors.As(context.Cause(ctx), &failure) {
			return result, failure
		}
	}
	return result, err
}

func relayStream(ctx context.Context, recovery *RetryStates, exchange Exchange, next Handler) (Exchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	relaying := newRelaying(recovery, exchange)
	go watch(ctx, relaying.idle, func(limit time.Duration) bool {
		if !recovery.allows(exchange.Service.Name) {
			return false
		}
		cancel(failed(exchange, call.RanYes, call.CauseStalled, "no chunk for "+limit.String()))
		return true
	})
	go watch(ctx, relaying.slow, func(limit time.Duration) bool {
		if !relaying.relocates() {
			return false
		}
		cancel(failed(exchange, call.RanYes, call.CauseSlowed, "no chunk for "+limit.String()+" at a slowed server"))
		return true
	})
	result, err := next.Handle(ctx, exchange.WithSink(relaying))
	try := relaying.try.Load()
	recovery.learnStream(exchange.Service.Name, try, ctx.Err() != nil)
	result = result.WithSink(exchange.Sink).WithProgress(try.progress).WithRecomputed(try.recomputed())
	var failure *call.Failure
	switch {
	case try.progress.Finished():
		return result, try.callerGone
	case try.callerGone != nil:
		return result, try.callerGone
	case try.malformed != nil:
		return result, try.malformed
	case errors.As(context.Cause(ctx), &failure):
		return result, failure
	case err == nil:
		return result, failed(exchange, call.RanYes, call.CauseReset, "the stream ended without its end marker")
	default:
		return result, err
	}
}

func failed(exchange Exchange, ran call.Ran, cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: ran, Cause: cause, Step: StepRelay, Peer: exchange.Server.Name, Detail: detail}
}

func (retryStates *RetryStates) learnFirst(service string, first time.Duration) {
	retryStates.cell(service).Update(func(state retry.State) retry.State { return state.WithFirstToken(first) })
}

// learnSlow takes in a try that was ended after elapsed while its answer was awaited.
func (retryStates *RetryStates) learnSlow(service string, elapsed time.Duration) {
	retryStates.cell(service).Update(func(state retry.State) retry.State { return state.WithAborted(elapsed) })
}

// learnStream takes in the times of a try. A try that ended before its first
// chunk teaches something only when it was ended for its slowness.
func (retryStates *RetryStates) learnStream(service string, try try, ended bool) {
	switch {
	case try.chunks > 0:
		retryStates.learnFirst(service, try.first.Sub(try.begin))
	case ended:
		retryStates.learnSlow(service, time.Since(try.begin))
	}
	if try.chunks > 1 {
		gap := try.latest.Sub(try.first) / time.Duration(try.chunks-1)
		retryStates.cell(service).Update(func(state retry.State) retry.State { return state.WithGap(gap) })
	}
}
