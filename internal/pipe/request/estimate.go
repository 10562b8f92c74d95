package request

import (
	"context"
	"sync/atomic"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Estimate sets the expected length of a request, for the filters that limit and queue it.
func Estimate(estimator *rcu.Cell[account.Estimator]) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			forecast := estimator.Load().Forecast(exchange.Request)
			return next.Handle(ctx, exchange.WithRequest(exchange.Request.WithEstimate(forecast.Estimate)))
		})
	}
}

// meter counts the tokens of an answer and reports once when they pass a boundary.
type meter struct {
	tokens atomic.Int64
	passed atomic.Bool
}

// sink returns a sink that counts the chunks on their way to next.
func (meter *meter) sink(next Sink, boundary int, passed func()) Sink {
	return SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		meter.raise(int64(chunk.End()))
		if chunk.End() > boundary && meter.passed.CompareAndSwap(false, true) {
			passed()
		}
		return next.Send(ctx, chunk)
	})
}

// raise sets the count to at least end; tries that race send the same tokens.
func (meter *meter) raise(end int64) {
	for {
		current := meter.tokens.Load()
		if end <= current || meter.tokens.CompareAndSwap(current, end) {
			return
		}
	}
}
