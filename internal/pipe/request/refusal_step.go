package request

import (
	"context"
	"errors"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// RefusalStep returns a filter that adds the step to the refusals of the filters behind it, unless one of those has added its own.
func RefusalStep(step string) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			ended, err := next.Handle(ctx, exchange)
			var refusal *call.Refusal
			if errors.As(err, &refusal) && refusal.Step == "" {
				return ended, refusal.WithStep(step)
			}
			return ended, err
		})
	}
}
