package forward

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepCrashing is the step of [Crashes] in decisions and errors.
const StepCrashing = "crashing"

const (
	// crashRetryAfter is the time after which the caller of a refused call may retry.
	crashRetryAfter = 2 * time.Second
	// crashWindow is how long a crash counts against a call.
	crashWindow = 40 * time.Second
	// completionSlots is the number of recent completions that are kept, at most one of the calls whose fingerprints share a
	// slot.
	completionSlots = 2048
)

// Crashes refuses calls during which several servers crashed, as observed by this entry or others. It is safe for
// concurrent use.
type Crashes struct {
	tracker *rcu.Cell[suspect.Tracker]
	// completions are recent completions of calls with which no server had crashed, since reports of crashes before them
	// may still arrive.
	completions [completionSlots]atomic.Pointer[completion]
}

// completion is the latest time at which a call finished.
type completion struct {
	fingerprint suspect.Fingerprint
	at          time.Time
}

// NewCrashes returns crashes of no server.
func NewCrashes() *Crashes { return &Crashes{tracker: rcu.New(suspect.Tracker{})} }

// Filter returns a filter that refuses calls during which several servers crashed, with [call.ReasonQuarantined], and records
// the calls that are answered.
func (crashes *Crashes) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			fingerprint := suspect.FingerprintOf(exchange.Request)
			if refuse, count := crashes.tracker.Load().IsCrashing(fingerprint, time.Now(), crashWindow); refuse {
				return exchange, call.Refuse(call.ReasonQuarantined, "%d backend servers went away while they ran this call, so it is quarantined", count).WithRetryAfter(crashRetryAfter)
			}
			handled, err := next.Handle(ctx, exchange)
			if err == nil {
				crashes.recordCompletion(completion{fingerprint: fingerprint, at: time.Now()})
			}
			return handled, err
		})
	}
}

// Record records that the target of an exchange apparently crashed while it ran the call.
func (crashes *Crashes) Record(exchange request.Exchange) {
	fingerprint := suspect.FingerprintOf(exchange.Request)
	incarnation := exchange.Target.ID + "#" + strconv.FormatInt(exchange.Target.StartedMs, 36)
	crashes.tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
		return crashes.withCompletion(tracker.WithCrash(fingerprint, incarnation, time.Now()), fingerprint).WithMaxAge(time.Now(), crashWindow)
	})
}

// Reports returns at most limit reports for other entries.
func (crashes *Crashes) Reports(limit int) []suspect.Report {
	return crashes.tracker.Load().TopReports(limit, time.Now(), crashWindow)
}

// MergeReports merges the reports of another entry, and drops crashes older than the window.
func (crashes *Crashes) MergeReports(reports []suspect.Report) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	crashes.tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
		tracker = tracker.WithReports(reports)
		for _, report := range reports {
			tracker = crashes.withCompletion(tracker, report.Fingerprint)
		}
		return tracker.WithMaxAge(now, crashWindow)
	})
}

// recordCompletion records that a call finished.
func (crashes *Crashes) recordCompletion(finished completion) {
	crashes.completionSlot(finished.fingerprint).Store(&finished)
	if crashes.tracker.Load().Len() == 0 {
		return
	}
	crashes.tracker.Update(func(tracker suspect.Tracker) suspect.Tracker {
		return tracker.WithFinished(finished.fingerprint, finished.at)
	})
}

// withCompletion returns the tracker with the latest completion of a call that is kept.
func (crashes *Crashes) withCompletion(tracker suspect.Tracker, fingerprint suspect.Fingerprint) suspect.Tracker {
	finished := crashes.completionSlot(fingerprint).Load()
	if finished == nil || finished.fingerprint != fingerprint {
		return tracker
	}
	return tracker.WithFinished(fingerprint, finished.at)
}

// completionSlot returns the slot of a call's fingerprint.
func (crashes *Crashes) completionSlot(fingerprint suspect.Fingerprint) *atomic.Pointer[completion] {
	return &crashes.completions[fingerprint.Content%completionSlots]
}
