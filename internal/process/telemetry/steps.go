package telemetry

import (
	"context"
	"errors"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// RefusalStep returns a filter that adds the step to the refusals of the filters behind it, unless one of those has added its own.
func RefusalStep(step string) request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			ended, err := next.Handle(ctx, exchange)
			var refusal *call.Refusal
			if errors.As(err, &refusal) && refusal.Step == "" {
				return ended, refusal.WithStep(step)
			}
			return ended, err
		})
	}
}
