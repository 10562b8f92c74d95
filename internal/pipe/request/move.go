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

// StepMove names the move of a completion with its KV cache in decisions and errors.
const StepMove = "move"

// errMoved ends a try whose completion goes on at another server.
var errMoved = errors.New("the completion moves to another server")

// CacheClient copies KV caches from one model engine to another.
type CacheClient interface {
	// Export keeps the cache of a completion in progress, with its first answer
	// tokens, after the completion is cancelled, and returns its name.
	Export(ctx context.Context, server backend.Server, request call.Request, tokens int) (call.Cache, error)
	// Import makes server fetch the cache, so that the completion goes on there
	// without computing those tokens again.
	Import(ctx context.Context, server backend.Server, cache call.Cache) error
}

// Move takes streams off servers that leave, with their KV caches, while the notice leaves time.
//
// It stands between the choice of the server and the relay. A move is a try
// that fails with [call.CauseLeaving], which the retry filter follows; where
// the copy fails, the completion goes on with its tokens computed again.
func Move(views Views, caches CacheClient) Filter {
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
			return result.WithCache(moveSink.state.Load().cache), &call.Failure{
				Ran: call.RanYes, Cause: call.CauseLeaving, Step: StepMove, Peer: exchange.Server.Name, Detail: "the server leaves",
			}
		})
	}
}

// importCache returns the exchange after its KV cache was copied to the chosen server, if it has one.
func importCache(ctx context.Context, caches CacheClient, exchange Exchange) Exchange {
	cache := exchange.Cache
	exchange = exchange.WithCache(call.Cache{})
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

// moveSink is the sink of a try that is moved when its server leaves.
type moveSink struct {
	views    Views
	caches   CacheClient
	exchange Exchange
	state    *rcu.Cell[moveState]
}

// moveState is what is known of one try's move.
type moveState struct {
	// leavingSince is when the try saw that its server leaves.
	leavingSince time.Time
	// exportFailed reports that the server did not export the cache; it is asked once.
	exportFailed bool
	cache        call.Cache
}

// Send passes a chunk on, and ends the try after it when the completion is to move.
func (moveSink *moveSink) Send(ctx context.Context, chunk call.Chunk) error {
	if err := moveSink.exchange.Sink.Send(ctx, chunk); err != nil || chunk.Final {
		return err
	}
	server, known := moveSink.views.View().Fleet.Server(moveSink.exchange.Server.Name)
	if !known || !server.Leaving {
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
		state.cache, state.exportFailed = cache, err != nil
		return state
	})
	if err != nil {
		return nil //nolint:nilerr // the stream goes on where it is when its cache cannot be exported
	}
	return errMoved
}
