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

// StepQuarantine is the step of [Quarantine] in decisions and errors.
const StepQuarantine = "quarantine"

// isolationRetryInterval is the interval at which [Quarantine] looks again for a server
// without another suspect. Polling is cheap enough: suspects run for seconds, and there are
// few of them.
const isolationRetryInterval = 20 * time.Millisecond

// errNotIsolated is the error of [Isolate] when the request must not run at the chosen
// server. It makes [Quarantine] check the request again.
var errNotIsolated = errors.New("the chosen server runs another suspect, or the request is quarantined")

// Suspects is an entry's state of the requests that may crash servers. A request becomes a
// suspect when a server crashes while it is in flight there, and is quarantined when a
// second server does.
type Suspects struct {
	// Tracker holds the observed crashes. Entries exchange and merge it.
	Tracker *rcu.Cell[suspect.Tracker]
	// Isolation holds the servers that each run one suspect request of this entry.
	Isolation *rcu.Cell[suspect.Isolation]
}

// NewSuspects returns a state without suspects.
func NewSuspects() Suspects {
	return Suspects{Tracker: rcu.New(suspect.Tracker{}), Isolation: rcu.New(suspect.Isolation{})}
}

// List returns the requests that are suspected or quarantined.
func (suspects Suspects) List(now time.Time) []suspect.RequestStatus {
	return suspects.Tracker.Load().Requests(now)
}

// Release discards the crashes recorded for a request so far, and reports whether the
// request was suspected or quarantined.
func (suspects Suspects) Release(fingerprint suspect.Fingerprint, now time.Time) bool {
	_, wasSuspect := rcu.Apply(suspects.Tracker, func(tracker suspect.Tracker) (suspect.Tracker, bool) {
		wasSuspect := tracker.Verdict(fingerprint, now) != suspect.VerdictClear
		return tracker.WithFinished(fingerprint, now), wasSuspect
	})
	return wasSuspect
}

// Quarantine refuses requests that crashed servers with [call.ReasonQuarantined], and
// runs suspects only at servers that run no other suspect.
//
// A request that its caller sends again and again, one copy after the other, crashes up to
// two servers through each entry that it reaches before that entry's tracker contains two
// crashes. Copies that are in flight at the same time before the first crash is recorded
// crash up to one server each.
//
// It is placed between the retries and the choice of the server, and [Isolate] after
// the choice.
func Quarantine(suspects Suspects) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			fingerprint := suspect.FingerprintOf(exchange.Request)
			for {
				now := time.Now()
				verdict := suspects.Tracker.Load().Verdict(fingerprint, now)
				if verdict == suspect.VerdictClear {
					result, err := next.Handle(ctx, exchange)
					if !errors.Is(err, errNotIsolated) {
						return result, err
					}
				} else {
					withDecision := exchange.WithDecision(Decision{At: now, Step: StepQuarantine, Reason: string(verdict)})
					if verdict == suspect.VerdictQuarantined {
						return withDecision, call.Refuse(call.ReasonQuarantined, "backend servers crashed while they ran this request, so it is quarantined")
					}
					result, ran, err := runIsolated(ctx, next, withDecision, suspects.Isolation.Load().Held())
					if ran {
						return result, err
					}
				}
				if pause.For(ctx, isolationRetryInterval) != nil {
					return exchange, call.Refuse(call.ReasonDeadline, "no backend server without another suspect request became available before the request ended")
				}
			}
		})
	}
}

// runIsolated runs a suspect at a server that runs no other suspect, and reports whether
// there was such a server. The parameter held lists the servers that run a suspect.
func runIsolated(ctx context.Context, next Handler, exchange Exchange, held []string) (Exchange, bool, error) {
	candidate := exchange
	for _, server := range held {
		candidate = candidate.WithTriedServer(server)
	}
	result, err := next.Handle(ctx, candidate)
	var refusal *call.Refusal
	noneLeft := errors.As(err, &refusal) && refusal.Reason == call.ReasonNoBackend && len(held) > 0
	if errors.Is(err, errNotIsolated) || noneLeft {
		return result, false, err
	}
	// The held servers were excluded but not tried, so a retry may choose them later.
	result.TriedServers = exchange.TriedServers
	if result.Server.Name != "" {
		result = result.WithTriedServer(result.Server.Name)
	}
	return result, true, err
}

// Isolate reserves the chosen server for a suspect while it runs there, and records
// crashes, and suspects that finished without a crash.
func Isolate(suspects Suspects) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			fingerprint := suspect.FingerprintOf(exchange.Request)
			server := exchange.Server.Name
			switch suspects.Tracker.Load().Verdict(fingerprint, time.Now()) {
			case suspect.VerdictQuarantined:
				// Another entry's tracker was merged since the check in Quarantine, which
				// now refuses the request.
				return exchange, errNotIsolated
			case suspect.VerdictSuspect:
				_, reserved := rcu.Apply(suspects.Isolation, func(isolation suspect.Isolation) (suspect.Isolation, bool) {
					return isolation.WithHold(server, fingerprint)
				})
				if !reserved {
					return exchange, errNotIsolated
				}
				defer suspects.Isolation.Update(func(isolation suspect.Isolation) suspect.Isolation {
					return isolation.WithRelease(server)
				})
			}
			result, err := next.Handle(ctx, exchange)
			suspects.recordOutcome(exchange, fingerprint, err)
			return result, err
		})
	}
}

// recordOutcome records a crash of the server, or that a suspect finished.
func (suspects Suspects) recordOutcome(exchange Exchange, fingerprint suspect.Fingerprint, err error) {
	now := time.Now()
	switch {
	case err == nil && suspects.Tracker.Load().Verdict(fingerprint, now) != suspect.VerdictClear:
		suspects.Tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
			return tracker.WithFinished(fingerprint, now)
		})
	case serverCrashed(exchange, err):
		suspects.Tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
			return tracker.WithCrash(fingerprint, exchange.Server.Name, now)
		})
	}
}

// serverCrashed reports whether the server reset the connection while it may have run the
// request. A leaving server that resets it has not crashed, but was reclaimed.
func serverCrashed(exchange Exchange, err error) bool {
	var failure *call.Failure
	if !errors.As(err, &failure) || failure.Cause != call.CauseReset || failure.Ran == call.RanNo {
		return false
	}
	return !exchange.Server.Observation.Load().Leaving
}
