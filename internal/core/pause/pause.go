package pause

import (
	"context"
	"time"
)

// For sleeps for the duration and returns nil, or returns the error of ctx if that ends first.
func For(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
