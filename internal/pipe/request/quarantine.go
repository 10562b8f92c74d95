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

// isolationRetryInterval is the interval at which a suspect request looks again for a
// server without another suspect. Polling is cheap enough: suspects run for seconds, and
// there are few of them.
const isolationRetryInterval = 20 * time.Millisecond

// errNotIsolated is the error of [Isolate] when the request may not run at the chosen
// server, which makes [Quarantine] check the request again.
var errNotIsolated = errors.New("the chosen server runs another suspect, or the request is quarantined")

// Suspects is an entry's state about requests that may crash servers.
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
// A request that is sent sequentially crashes up to two servers at each entry that it
// reaches before that entry's tracker has both crashes. Copies that are in flight
// together before the first crash crash up to one server each.
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
					after, err := next.Handle(ctx, exchange)
					if !errors.Is(err, errNotIsolated) {
						return after, err
					}
				} else {
					withDecision := exchange.WithDecision(Decision{At: now, Step: StepQuarantine, Reason: string(verdict)})
					if verdict == suspect.VerdictQuarantined {
						return withDecision, call.Refuse(call.ReasonQuarantined, "backend servers crashed while they ran this request, so it is quarantined")
					}
					after, ran, err := runIsolated(ctx, next, withDecision, suspects.Isolation.Load().Held())
					if ran {
						return after, err
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
// there was such a server. Held lists the servers that run one.
func runIsolated(ctx context.Context, next Handler, exchange Exchange, held []string) (Exchange, bool, error) {
	candidate := exchange
	for _, server := range held {
		candidate = candidate.WithTriedServer(server)
	}
	after, err := next.Handle(ctx, candidate)
	var refusal *call.Refusal
	noneLeft := errors.As(err, &refusal) && refusal.Reason == call.ReasonNoBackend && len(held) > 0
	if errors.Is(err, errNotIsolated) || noneLeft {
		return after, false, err
	}
	// The held servers were excluded but not tried, so a retry may choose them later.
	after.TriedServers = exchange.TriedServers
	if after.Server.Name != "" {
		after = after.WithTriedServer(after.Server.Name)
	}
	return after, true, err
}

// Isolate reserves the chosen server for a suspect while it runs there, and records
// crashes and suspects that finished without one.
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
// request and was not leaving. A reclaim is no crash.
func serverCrashed(exchange Exchange, err error) bool {
	var failure *call.Failure
	if !errors.As(err, &failure) || failure.Cause != call.CauseReset || failure.Ran == call.RanNo {
		return false
	}
	return !exchange.Server.Observation.Load().Leaving
}
