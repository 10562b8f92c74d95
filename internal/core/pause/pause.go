package pause

import (
	"context"
	"time"
)

// For waits for the duration, or returns the context's error when that ends first.
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
