package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepCrashing is the step of [RefuseCrashing] in decisions and errors.
const StepCrashing = "crashing"

const (
	// crashLimit is the number of apparent server crashes from which a call is refused. A
	// lost answer looks the same as a crash, so one or two of them prove nothing.
	crashLimit = 3
	// crashRetryAfter is the time after which the caller of a refused call may retry.
	crashRetryAfter = 2 * time.Second
)

// CrashWindow is how long a crash counts against a call.
const CrashWindow = 40 * time.Second

// RefuseCrashing refuses calls during which several servers crashed, as observed by this
// entry or others, with [call.ReasonQuarantined]. An answered call is recorded in the
// tracker as finished.
func RefuseCrashing(tracker *rcu.Cell[suspect.Tracker]) request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			if tracker.Load().Len() == 0 {
				return next.Handle(ctx, exchange)
			}
			fingerprint := suspect.FingerprintOf(exchange.Request)
			if crashes := tracker.Load().CrashCount(fingerprint, time.Now(), CrashWindow); crashes >= crashLimit {
				return exchange, call.Refuse(call.ReasonQuarantined, "%d backend servers went away while they ran this call, so it is quarantined", crashes).WithRetryAfter(crashRetryAfter)
			}
			handled, err := next.Handle(ctx, exchange)
			if err == nil {
				tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
					return tracker.WithFinished(fingerprint, time.Now())
				})
			}
			return handled, err
		})
	}
}

// recordCrash records that the server apparently crashed while it ran the call.
func recordCrash(tracker *rcu.Cell[suspect.Tracker], exchange request.Exchange) {
	fingerprint := suspect.FingerprintOf(exchange.Request)
	incarnation := exchange.Target.ID + "#" + strconv.FormatInt(exchange.Target.StartedMs, 36)
	tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
		return tracker.WithCrash(fingerprint, incarnation, time.Now()).WithMaxAge(time.Now(), CrashWindow)
	})
}
