package request

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
)

// StepQuarantine names the check for requests that crash servers.
const StepQuarantine = "quarantine"

// isolationRetryInterval is the wait for a server without a suspect; suspects run for
// seconds, and there are few of them.
const isolationRetryInterval = 20 * time.Millisecond

// errNotIsolated is the error of [Isolate] when the request may not run at the chosen server.
var errNotIsolated = errors.New("the request may not run at the chosen server")

// Suspects is an entry's knowledge of requests that may crash servers.
type Suspects struct {
	// Register is exchanged with other entries by merging.
	Register  *rcu.Cell[suspect.Register]
	Isolation *rcu.Cell[suspect.Isolation]
}

// NewSuspects returns an empty state.
func NewSuspects() Suspects {
	return Suspects{Register: rcu.New(suspect.Register{}), Isolation: rcu.New(suspect.Isolation{})}
}

// Entries returns the requests that are suspected or quarantined.
func (suspects Suspects) Entries(now time.Time) []suspect.Entry {
	return suspects.Register.Load().Entries(now)
}

// Release clears a request of the crashes so far and reports whether it was suspected.
func (suspects Suspects) Release(fingerprint suspect.Fingerprint, now time.Time) bool {
	_, known := rcu.Apply(suspects.Register, func(register suspect.Register) (suspect.Register, bool) {
		known := register.Verdict(fingerprint, now) != suspect.VerdictClear
		return register.WithFinished(fingerprint, now), known
	})
	return known
}

// Quarantine refuses requests that crashed servers and keeps suspects to servers without another.
//
// A request that is sent once at a time costs two servers at each entry that it
// reaches before the entry's register has both crashes. Copies in flight
// together before the first crash cost up to one server each.
//
// It stands between the retries and the choice, and [Isolate] after the choice.
func Quarantine(suspects Suspects) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			fingerprint := suspect.FingerprintOf(exchange.Request)
			for {
				now := time.Now()
				verdict := suspects.Register.Load().Verdict(fingerprint, now)
				if verdict == suspect.VerdictClear {
					after, err := next.Handle(ctx, exchange)
					if !errors.Is(err, errNotIsolated) {
						return after, err
					}
				} else {
					decided := exchange.WithDecision(Decision{At: now, Step: StepQuarantine, Reason: string(verdict)})
					if verdict == suspect.VerdictQuarantined {
						return decided, call.Refuse(call.ReasonQuarantined, "servers crashed while they ran this request")
					}
					after, ran, err := runIsolated(ctx, next, decided, suspects.Isolation.Load().Held())
					if ran {
						return after, err
					}
				}
				if pause.For(ctx, isolationRetryInterval) != nil {
					return exchange, call.Refuse(call.ReasonDeadline, "no server was free of other suspects in time")
				}
			}
		})
	}
}

// runIsolated runs a suspect at a server that runs no other, and reports whether there was one.
func runIsolated(ctx context.Context, next Handler, exchange Exchange, held []string) (Exchange, bool, error) {
	tried := exchange
	for _, server := range held {
		tried = tried.WithTried(server)
	}
	after, err := next.Handle(ctx, tried)
	var refusal *call.Refusal
	none := errors.As(err, &refusal) && refusal.Reason == call.ReasonNoBackend && len(held) > 0
	if errors.Is(err, errNotIsolated) || none {
		return after, false, err
	}
	// The held servers were not tried, so a retry may choose them later.
	after.Tried = exchange.Tried
	if after.Server.Name != "" {
		after = after.WithTried(after.Server.Name)
	}
	return after, true, err
}

// Isolate holds the chosen server for a suspect, and records crashes and finished suspects.
func Isolate(suspects Suspects) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			fingerprint := suspect.FingerprintOf(exchange.Request)
			server := exchange.Server.Name
			switch suspects.Register.Load().Verdict(fingerprint, time.Now()) {
			case suspect.VerdictQuarantined:
				// Other entries' registers were merged meanwhile, and Quarantine refuses it now.
				return exchange, errNotIsolated
			case suspect.VerdictSuspect:
				_, held := rcu.Apply(suspects.Isolation, func(isolation suspect.Isolation) (suspect.Isolation, bool) {
					return isolation.WithHold(server, fingerprint)
				})
				if !held {
					return exchange, errNotIsolated
				}
				defer suspects.Isolation.Update(func(isolation suspect.Isolation) suspect.Isolation {
					return isolation.WithRelease(server)
				})
			}
			after, err := next.Handle(ctx, exchange)
			suspects.recordOutcome(exchange, fingerprint, err)
			return after, err
		})
	}
}

func (suspects Suspects) recordOutcome(exchange Exchange, fingerprint suspect.Fingerprint, err error) {
	now := time.Now()
	switch {
	case err == nil && suspects.Register.Load().Verdict(fingerprint, now) != suspect.VerdictClear:
		suspects.Register.Update(func(register suspect.Register) suspect.Register {
			return register.WithFinished(fingerprint, now)
		})
	case serverCrashed(exchange, err):
		suspects.Register.Update(func(register suspect.Register) suspect.Register {
			return register.WithCrash(fingerprint, exchange.Server.Name, now)
		})
	}
}

// serverCrashed reports whether the server went away under the request, other than by a reclaim.
func serverCrashed(exchange Exchange, err error) bool {
	var failure *call.Failure
	if !errors.As(err, &failure) || failure.Cause != call.CauseReset || failure.Ran == call.RanNot {
		return false
	}
	return !exchange.Server.Observation.Load().Leaving
}
