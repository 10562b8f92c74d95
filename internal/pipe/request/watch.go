package request

import (
	"context"
	"time"
)

// idle tells since when a server's next message is awaited, zero when it is
// not, and the longest pause that is not a stall.
type idle func() (since time.Time, limit time.Duration)

// watch calls stalled once when a server pauses for longer than its limit, and
// returns then or when the context ends.
//
// A try is ended only while the service's budget has a retry left: work is not
// given up for a replacement that could not start.
func (recovery *Recovery) watch(ctx context.Context, service string, idle idle, stalled func(limit time.Duration)) {
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
		if rest <= 0 && recovery.State(service).Budget.Allows(now) {
			stalled(limit)
			return
		}
		if rest <= 0 {
			rest = limit
		}
		timer.Reset(rest)
	}
}
