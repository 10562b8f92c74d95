package request

import (
	"context"
	"time"
)

// pauseFunc returns when waiting for a server's next message began, zero if none is
// awaited, and the longest pause that is tolerated.
type pauseFunc func() (since time.Time, limit time.Duration)

// watchPauses calls stalled each time that a server pauses for longer than the limit,
// until stalled returns true or the context ends.
func watchPauses(ctx context.Context, pause pauseFunc, stalled func(limit time.Duration) bool) {
	_, limit := pause()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		since, limit := pause()
		remaining := limit
		if !since.IsZero() {
			remaining = since.Add(limit).Sub(now)
		}
		if remaining <= 0 && stalled(limit) {
			return
		}
		if remaining <= 0 {
			remaining = limit
		}
		timer.Reset(remaining)
	}
}
