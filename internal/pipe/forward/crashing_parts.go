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

const (
	// partWindow is how long a crash counts against a part. A part that is refused is not answered and so cannot clear itself,
	// and each time that it is tried again costs some servers.
	partWindow = 10 * time.Minute
	// partRetryAfter is the time after which the caller of a call with a refused part may retry.
	partRetryAfter = 30 * time.Second
	// soundAnswerTime is the time from the first event of an answer after which its parts are not taken for the cause if the server crashes. A
	// server that a part crashes may write an event or two before.
	soundAnswerTime = 500 * time.Millisecond
	// answeredBeforeWindow is the time before now in which an answer makes more crashes necessary to refuse a part.
	answeredBeforeWindow = time.Minute
	// answeredPartSlots is the number of recently answered parts that are kept, at most one of those that share a slot.
	answeredPartSlots = 4096
)

// PartCrashes refuses calls whose prompts have a part with which servers crashed, as observed by this entry or others. It is
// safe for concurrent use.
type PartCrashes struct {
	tracker *rcu.Cell[suspect.PartTracker]
	// answered are the latest answers of parts with which no server had crashed, by slot.
	answered [answeredPartSlots]atomic.Pointer[answeredPart]
}

// answeredPart is the latest time at which a call with a part was answered.
type answeredPart struct {
	part suspect.PartFingerprint
	at   time.Time
}

// NewPartCrashes returns crashes of no server.
func NewPartCrashes() *PartCrashes { return &PartCrashes{tracker: rcu.New(suspect.PartTracker{})} }

// Filter returns a filter that refuses calls as [PartCrashes.Check] does.
func (crashes *PartCrashes) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			if refusal := crashes.Check(exchange.Request.Opaque.Prompt); refusal != nil {
				return exchange, refusal
			}
			return next.Handle(ctx, exchange)
		})
	}
}

// Check returns a refusal with [call.ReasonQuarantined] for a prompt that has a part with which servers crashed, otherwise nil.
func (crashes *PartCrashes) Check(prompt call.Prompt) *call.Refusal {
	tracker := crashes.tracker.Load()
	if tracker.Len() == 0 {
		return nil
	}
	part, count, crashing := tracker.Crashing(suspect.SharedParts(prompt), time.Now(), crashes.answeredBefore)
	if !crashing {
		return nil
	}
	return call.Refuse(call.ReasonQuarantined, "%d backend servers went away while they ran calls with the part %s of the prompt, so such calls are quarantined",
		count, partID(prompt, part)+" ("+part.String()+")").WithRetryAfter(partRetryAfter)
}

// partID returns the id of the part of a prompt that has a fingerprint.
func partID(prompt call.Prompt, fingerprint suspect.PartFingerprint) string {
	for i, shared := range suspect.SharedParts(prompt) {
		if shared == fingerprint {
			return prompt.Parts[i].ID
		}
	}
	return ""
}

// Quarantined returns the parts that are refused, in ascending order.
func (crashes *PartCrashes) Quarantined() []suspect.PartFingerprint {
	return crashes.tracker.Load().AllCrashing(time.Now(), crashes.answeredBefore)
}

// RecordCrash records that the target of an exchange apparently crashed soon after it had begun to answer the call, or before.
func (crashes *PartCrashes) RecordCrash(exchange request.Exchange) {
	parts := suspect.SharedParts(exchange.Request.Opaque.Prompt)
	if len(parts) == 0 {
		return
	}
	crash := suspect.PartCrash{
		Server:  exchange.Target.ID + "#" + strconv.FormatInt(exchange.Target.StartedMs, 36),
		Request: suspect.FingerprintOf(exchange.Request).Content,
		At:      time.Now(),
	}
	crashes.tracker.Update(func(tracker suspect.PartTracker) suspect.PartTracker {
		return crashes.withAnswers(tracker.WithMaxAge(crash.At, partWindow).WithCrash(parts, crash), parts...)
	})
}

// RecordAnswer records that a successful answer to a call with the prompt, which began at a time, has ended or lasted for soundAnswerTime.
func (crashes *PartCrashes) RecordAnswer(prompt call.Prompt, begunAt time.Time) {
	parts := suspect.SharedParts(prompt)
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		crashes.answered[part%answeredPartSlots].Store(&answeredPart{part: part, at: begunAt})
	}
	if crashes.tracker.Load().Len() == 0 {
		return
	}
	crashes.tracker.Update(func(tracker suspect.PartTracker) suspect.PartTracker { return tracker.WithAnswer(parts, begunAt) })
}

// answeredBefore reports whether this entry saw a call with a part answered within answeredBeforeWindow.
func (crashes *PartCrashes) answeredBefore(part suspect.PartFingerprint) bool {
	answered := crashes.answered[part%answeredPartSlots].Load()
	return answered != nil && answered.part == part && time.Since(answered.at) < answeredBeforeWindow
}

// Reports returns at most limit reports for other entries.
func (crashes *PartCrashes) Reports(limit int) []suspect.PartReport {
	return crashes.tracker.Load().Reports(limit)
}

// MergeReports merges the reports of another entry.
func (crashes *PartCrashes) MergeReports(reports []suspect.PartReport) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	crashes.tracker.Update(func(tracker suspect.PartTracker) suspect.PartTracker {
		tracker = tracker.WithReports(reports, now)
		for _, report := range reports {
			tracker = crashes.withAnswers(tracker, report.Part)
		}
		return tracker.WithMaxAge(now, partWindow)
	})
}

// withAnswers returns the tracker with the latest answers of the parts that this entry has seen: reports of crashes before
// them may arrive later, and the entry that reports them may not see an answer itself.
func (crashes *PartCrashes) withAnswers(tracker suspect.PartTracker, parts ...suspect.PartFingerprint) suspect.PartTracker {
	for _, part := range parts {
		if answered := crashes.answered[part%answeredPartSlots].Load(); answered != nil && answered.part == part {
			tracker = tracker.WithPartAnswered(part, answered.at)
		}
	}
	return tracker
}
