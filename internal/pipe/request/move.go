package request

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// StepMove is the step of [Move] in decisions and errors.
const StepMove = "move"

// errMoved ends an attempt whose completion continues at another server.
var errMoved = errors.New("the completion is moved to another server with its KV cache")

// KVCacheClient copies KV caches from one model engine to another, so that a completion can
// continue there.
type KVCacheClient interface {
	// Export makes server retain the cache of a completion in progress after the
	// completion is cancelled, and returns a reference to the cache. The parameter tokens
	// is the number of answer tokens that the cache covers.
	Export(ctx context.Context, server backend.Server, request call.Request, tokens int) (call.KVCache, error)
	// Import makes server fetch the cache from the server that exported it, so that the
	// completion continues there without recomputing the covered tokens.
	Import(ctx context.Context, server backend.Server, cache call.KVCache) error
}

// Move moves streams away from servers that are leaving, with their KV caches, as long
// as the time left before the shutdown suffices.
//
// It is placed between the choice of the server and [Relay]. A move ends the attempt
// with [call.CauseLeaving], after which [Retry] resumes the completion at another
// server. If the cache cannot be copied, that server recomputes the tokens.
func Move(views ViewSource, caches KVCacheClient) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if exchange.Service.Protocol != config.ProtocolEngine {
				return next.Handle(ctx, exchange)
			}
			exchange = importCache(ctx, caches, exchange)
			moveSink := &moveSink{views: views, caches: caches, exchange: exchange, state: rcu.New(moveState{})}
			result, err := next.Handle(ctx, exchange.WithSink(moveSink))
			result = result.WithSink(exchange.Sink)
			if !errors.Is(err, errMoved) {
				return result, err
			}
			return result.WithKVCache(moveSink.state.Load().exportedCache), &call.Failure{
				Ran: call.RanYes, Cause: call.CauseLeaving, Step: StepMove, Peer: exchange.Server.Name, Detail: "the server is leaving; its KV cache was exported",
			}
		})
	}
}

// importCache copies the exchange's KV cache, if it has one, to the chosen server and
// returns the exchange without the cache and with the decision.
func importCache(ctx context.Context, caches KVCacheClient, exchange Exchange) Exchange {
	cache := exchange.KVCache
	exchange = exchange.WithKVCache(call.KVCache{})
	if cache.Handle == "" || cache.Server == exchange.Server.Name {
		return exchange
	}
	ctx, cancel := context.WithTimeout(ctx, retry.MoveTime)
	defer cancel()
	decision := Decision{At: time.Now(), Step: StepMove, Reason: "Imported", Peer: exchange.Server.Name, Detail: "KV cache from " + cache.Server}
	if err := caches.Import(ctx, exchange.Server, cache); err != nil {
		decision.Reason, decision.Detail = "ImportFailed", err.Error()
	}
	return exchange.WithDecision(decision)
}

// moveSink is the sink of an attempt that is moved when its server is leaving.
type moveSink struct {
	views    ViewSource
	caches   KVCacheClient
	exchange Exchange
	state    *rcu.Cell[moveState]
}

// moveState is the state of moving one attempt to another server.
type moveState struct {
	// leavingSince is when the attempt first found its server leaving, zero before.
	leavingSince time.Time
	// exportFailed is set after a failed export, which is not repeated.
	exportFailed  bool
	exportedCache call.KVCache
}

// Send passes a chunk on, and then ends the attempt if the completion has to move.
func (moveSink *moveSink) Send(ctx context.Context, chunk call.Chunk) error {
	if err := moveSink.exchange.Sink.Send(ctx, chunk); err != nil || chunk.Final {
		return err
	}
	server, listed := moveSink.views.View().Fleet.Server(moveSink.exchange.Server.Name)
	if !listed || !server.Leaving {
		return nil
	}
	now := time.Now()
	state := moveSink.state.Update(func(state moveState) moveState {
		if state.leavingSince.IsZero() {
			state.leavingSince = now
		}
		return state
	})
	if state.exportFailed || !retry.MoveDue(now.Sub(state.leavingSince)) {
		return nil
	}
	cache, err := moveSink.caches.Export(ctx, moveSink.exchange.Server, moveSink.exchange.Request, chunk.End())
	moveSink.state.Update(func(state moveState) moveState {
		state.exportedCache, state.exportFailed = cache, err != nil
		return state
	})
	if err != nil {
		return nil //nolint:nilerr // without an exported cache the stream continues at the current server
	}
	return errMoved
}
