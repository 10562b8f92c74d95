package request

import (
	"context"
	"time"
)

// pauseFunc returns the time since which a server's next message is awaited, zero if none
// is awaited, and the longest pause that is tolerated.
type pauseFunc func() (since time.Time, limit time.Duration)

// watchPauses calls onLongPause each time that a server pauses for longer than the limit,
// until onLongPause returns true or the context ends.
func watchPauses(ctx context.Context, pause pauseFunc, onLongPause func(limit time.Duration) bool) {
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
		if remaining <= 0 && onLongPause(limit) {
			return
		}
		if remaining <= 0 {
			remaining = limit
		}
		timer.Reset(remaining)
	}
}
