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
//
// The end of shortened, nil for never, means that the limit has become shorter, as when a stream has started.
func watchPauses(ctx context.Context, pause pauseFunc, shortened <-chan struct{}, onLongPause func(limit time.Duration) bool) {
	_, limit := pause()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-shortened:
			shortened = nil
		case <-timer.C:
		}
		remaining, limit := remainingPause(pause, time.Now())
		if remaining <= 0 && onLongPause(limit) {
			return
		}
		if remaining <= 0 {
			remaining = limit
		}
		timer.Reset(remaining)
	}
}

// remainingPause returns the time until the pause is too long, and its limit. While no message is awaited, it is the limit.
func remainingPause(pause pauseFunc, now time.Time) (remaining, limit time.Duration) {
	since, limit := pause()
	if since.IsZero() {
		return limit, limit
	}
	return since.Add(limit).Sub(now), limit
}
