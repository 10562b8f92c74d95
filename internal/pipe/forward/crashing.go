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

// StepCrashing names the check for calls that crash servers in decisions.
const StepCrashing = "crashing"

const (
	// crashLimit is the number of servers that may go away under a call. Lost
	// answers look the same, so that one or two prove nothing.
	crashLimit = 3
	// crashRetryAfter is when a call that crashed servers may come again.
	crashRetryAfter = 2 * time.Second
)

// CrashWindow is how long a crash counts.
const CrashWindow = 40 * time.Second

// Crashing refuses calls under which several servers went away, here or at other entries.
func Crashing(register *rcu.Cell[suspect.Register]) request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			if register.Load().Len() == 0 {
				return next.Handle(ctx, exchange)
			}
			fingerprint := suspect.FingerprintOf(exchange.Request)
			if crashes := register.Load().Crashes(fingerprint, time.Now(), CrashWindow); crashes >= crashLimit {
				return exchange, call.Refuse(call.ReasonQuarantined, "%d servers went away while they ran this call", crashes).WithRetryAfter(crashRetryAfter)
			}
			after, err := next.Handle(ctx, exchange)
			if err == nil {
				register.Update(func(register suspect.Register) suspect.Register {
					return register.WithFinished(fingerprint, time.Now())
				})
			}
			return after, err
		})
	}
}

// recordCrash notes a call under which a server went away.
func recordCrash(register *rcu.Cell[suspect.Register], exchange request.Exchange) {
	fingerprint := suspect.FingerprintOf(exchange.Request)
	incarnation := exchange.Target.ID + "#" + strconv.FormatInt(exchange.Target.Born, 36)
	register.Update(func(register suspect.Register) suspect.Register {
		return register.WithCrash(fingerprint, incarnation, time.Now()).Within(time.Now(), CrashWindow)
	})
}
