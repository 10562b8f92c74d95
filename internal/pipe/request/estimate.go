package request

import (
	"context"
	"sync/atomic"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Estimate sets the expected number of tokens and the class of a request, on which
// the filters that limit and queue requests depend.
func Estimate(estimator *rcu.Cell[account.Estimator]) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			forecast := estimator.Load().Forecast(exchange.Request)
			return next.Handle(ctx, exchange.WithRequest(exchange.Request.WithEstimate(forecast.Estimate)))
		})
	}
}

// meter counts the tokens of an answer and calls a function once when they exceed a boundary.
type meter struct {
	tokens   atomic.Int64
	exceeded atomic.Bool
}

// sink returns a sink that counts the tokens of each chunk and passes the chunk to
// next. It calls onExceeded before it passes on the first chunk that ends beyond boundary.
func (meter *meter) sink(next Sink, boundary int, onExceeded func()) Sink {
	return SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		meter.raise(int64(chunk.End()))
		if chunk.End() > boundary && meter.exceeded.CompareAndSwap(false, true) {
			onExceeded()
		}
		return next.Send(ctx, chunk)
	})
}

// raise sets the count to at least end. It takes the maximum because concurrent
// attempts of a hedged request send the same tokens.
func (meter *meter) raise(end int64) {
	for {
		current := meter.tokens.Load()
		if end <= current || meter.tokens.CompareAndSwap(current, end) {
			return
		}
	}
}
