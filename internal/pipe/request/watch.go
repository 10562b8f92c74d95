package request

import (
	"context"
	"time"
)

// idle tells since when a server's next message is awaited, zero when it is
// not, and the longest pause that is not a stall.
type idle func() (since time.Time, limit time.Duration)

// watch calls stalled when a server pauses for longer than its limit, until it
// returns true or the context ends.
func watch(ctx context.Context, idle idle, stalled func(limit time.Duration) bool) {
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
