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

// isolationPause is the wait for a server without a suspect; suspects run for
// seconds, and there are few of them.
const isolationPause = 20 * time.Millisecond

// errHeld is the error of [Isolate] when the request may not run at the chosen server.
var errHeld = errors.New("the request may not run at the chosen server")

// Suspects is an entry's knowledge of requests that may crash servers.
type Suspects struct {
	// Tracker is exchanged with other entries by merging.
	Tracker   *rcu.Cell[suspect.Tracker]
	Isolation *rcu.Cell[suspect.Isolation]
}

// NewSuspects returns an empty state.
func NewSuspects() Suspects {
	return Suspects{Tracker: rcu.New(suspect.Tracker{}), Isolation: rcu.New(suspect.Isolation{})}
}

// List returns the requests that are suspected or quarantined.
func (suspects Suspects) List(now time.Time) []suspect.RequestStatus {
	return suspects.Tracker.Load().Requests(now)
}

// Release clears a request of the crashes so far and reports whether it was suspected.
func (suspects Suspects) Release(fingerprint suspect.Fingerprint, now time.Time) bool {
	_, known := rcu.Apply(suspects.Tracker, func(register suspect.Tracker) (suspect.Tracker, bool) {
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
				verdict := suspects.Tracker.Load().Verdict(fingerprint, now)
				if verdict == suspect.VerdictClear {
					after, err := next.Handle(ctx, exchange)
					if !errors.Is(err, errHeld) {
						return after, err
					}
				} else {
					decided := exchange.WithDecision(Decision{At: now, Step: StepQuarantine, Reason: string(verdict)})
					if verdict == suspect.VerdictQuarantined {
						return decided, call.Refuse(call.ReasonQuarantined, "servers crashed while they ran this request")
					}
					after, ran, err := apart(ctx, next, decided, suspects.Isolation.Load().Held())
					if ran {
						return after, err
					}
				}
				if pause.For(ctx, isolationPause) != nil {
					return exchange, call.Refuse(call.ReasonDeadline, "no server was free of other suspects in time")
				}
			}
		})
	}
}

// apart runs a suspect at a server that runs no other, and reports whether there was one.
func apart(ctx context.Context, next Handler, exchange Exchange, held []string) (Exchange, bool, error) {
	tried := exchange
	for _, server := range held {
		tried = tried.WithTried(server)
	}
	after, err := next.Handle(ctx, tried)
	var refusal *call.Refusal
	none := errors.As(err, &refusal) && refusal.Reason == call.ReasonNoBackend && len(held) > 0
	if errors.Is(err, errHeld) || none {
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
			switch suspects.Tracker.Load().Verdict(fingerprint, time.Now()) {
			case suspect.VerdictQuarantined:
				// Other entries' registers were merged meanwhile, and Quarantine refuses it now.
				return exchange, errHeld
			case suspect.VerdictSuspect:
				_, held := rcu.Apply(suspects.Isolation, func(isolation suspect.Isolation) (suspect.Isolation, bool) {
					return isolation.WithHold(server, fingerprint)
				})
				if !held {
					return exchange, errHeld
				}
				defer suspects.Isolation.Update(func(isolation suspect.Isolation) suspect.Isolation {
					return isolation.WithRelease(server)
				})
			}
			after, err := next.Handle(ctx, exchange)
			suspects.ended(exchange, fingerprint, err)
			return after, err
		})
	}
}

func (suspects Suspects) ended(exchange Exchange, fingerprint suspect.Fingerprint, err error) {
	now := time.Now()
	switch {
	case err == nil && suspects.Tracker.Load().Verdict(fingerprint, now) != suspect.VerdictClear:
		suspects.Tracker.Update(func(register suspect.Tracker) suspect.Tracker {
			return register.WithFinished(fingerprint, now)
		})
	case crashed(exchange, err):
		suspects.Tracker.Update(func(register suspect.Tracker) suspect.Tracker {
			return register.WithCrash(fingerprint, exchange.Server.Name, now)
		})
	}
}

// crashed reports whether the server went away under the request, other than by a reclaim.
func crashed(exchange Exchange, err error) bool {
	var failure *call.Failure
	if !errors.As(err, &failure) || failure.Cause != call.CauseReset || failure.Ran == call.RanNot {
		return false
	}
	return !exchange.Server.Observation.Load().Leaving
}
