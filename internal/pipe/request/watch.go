package request

import (
	"context"
	"time"
)

// pauseFunc tells since when a server's next message is awaited, zero when it is
// not, and the longest pause that is not a stall.
type pauseFunc func() (since time.Time, limit time.Duration)

// watchPauses calls stalled when a server pauses for longer than its limit, until it
// returns true or the context ends.
func watchPauses(ctx context.Context, idle pauseFunc, stalled func(limit time.Duration) bool) {
	_, limit := idle()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := time.Now()
		since, limit := idle()
		rest := limit
		if !since.IsZero() {
			rest = since.Add(limit).Sub(now)
		}
		if rest <= 0 && stalled(limit) {
			return
		}
		if rest <= 0 {
			rest = limit
		}
		timer.Reset(rest)
	}
}
