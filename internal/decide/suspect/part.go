package suspect

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

const (
	// partCrashLimit is the number of servers that must have crashed, with as many different requests that have a part of a
	// prompt in common, for the part to be taken for the cause. A lost answer looks the same as a crash, and two of them may
	// come together.
	partCrashLimit = 3
	// partCrashLimitAnswered replaces partCrashLimit for a part with which requests were answered shortly before. When many
	// servers crash at once, common parts are in flight at several of them.
	partCrashLimitAnswered = 6
	// partSettleTime is the age from which crashes count against such a part. Within it, answers that others have begun last long enough to
	// count, and an entry learns of them.
	partSettleTime = 2 * time.Second
	// minAnswersWithout is the number of requests without the part that must have been answered since its first crash. While
	// no server answers anything, the missing answers to requests with a part prove nothing.
	minAnswersWithout = 8
	// maxParts bounds the tracked parts. A crash that many requests are in flight at makes each of their parts one.
	maxParts = 256
	// answeredPartTTL is how long a part is kept after it was cleared, so that other entries learn of it.
	answeredPartTTL = 10 * time.Second
)

// PartFingerprint identifies a part of prompts of a model.
type PartFingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (part PartFingerprint) String() string { return fmt.Sprintf("%016x", uint64(part)) }

// SharedParts returns the parts of a prompt that other requests may have in common with it: all but the last one, which
// belongs to the request or its session.
func SharedParts(prompt call.Prompt) []PartFingerprint {
	if len(prompt.Parts) < 2 {
		return nil
	}
	shared := make([]PartFingerprint, len(prompt.Parts)-1)
	for i := range shared {
		shared[i] = PartFingerprint(xxhash.Sum64String(prompt.Model + "\x00" + prompt.Parts[i].ID))
	}
	return shared
}

// PartTracker records in which parts of prompts the requests agree with which servers crashed. It is immutable; the zero value
// is empty.
//
// A part that crashes servers may come in requests that have nothing else in common, so that a [Tracker], which knows whole
// requests, never refuses one. No such request is answered, and the other parts of them are also in requests that are.
type PartTracker struct {
	records map[PartFingerprint]partRecord
}

// WithCrash returns the tracker after a server crashed with a request that has the parts.
func (tracker PartTracker) WithCrash(parts []PartFingerprint, crash PartCrash) PartTracker {
	records := maps.Clone(tracker.records)
	if records == nil {
		records = map[PartFingerprint]partRecord{}
	}
	for _, part := range parts {
		records[part] = records[part].withCrash(crash)
	}
	return PartTracker{records: records}.bounded()
}

// WithAnswer returns the tracker after this entry saw a successful answer, or more than the beginning of one, to a request that has the
// parts, none for a request without any. The answer began at a time, and says nothing about crashes after it.
func (tracker PartTracker) WithAnswer(parts []PartFingerprint, at time.Time) PartTracker {
	if len(tracker.records) == 0 {
		return tracker
	}
	records := make(map[PartFingerprint]partRecord, len(tracker.records))
	for part, record := range tracker.records {
		switch {
		case slices.Contains(parts, part):
			record = record.withAnswer(at)
		case len(record.crashes) > 0:
			record.answersWithout++
		}
		records[part] = record
	}
	return PartTracker{records: records}
}

// WithPartAnswered returns the tracker after a request with a tracked part was answered.
func (tracker PartTracker) WithPartAnswered(part PartFingerprint, at time.Time) PartTracker {
	record, ok := tracker.records[part]
	if !ok || !at.After(record.answeredAt) {
		return tracker
	}
	records := maps.Clone(tracker.records)
	records[part] = record.withAnswer(at)
	return PartTracker{records: records}
}

// WithReports returns the tracker with the reports of other entries, in any order. Times after now count as now, since the
// clock of the other entry may be ahead.
func (tracker PartTracker) WithReports(reports []PartReport, now time.Time) PartTracker {
	if len(reports) == 0 {
		return tracker
	}
	records := maps.Clone(tracker.records)
	if records == nil {
		records = map[PartFingerprint]partRecord{}
	}
	for _, report := range reports {
		crash, record := report.Crash, records[report.Part]
		if crash.At.After(now) {
			crash.At = now
		}
		if crash.Server == "" {
			record = record.withAnswer(crash.At)
		} else {
			record = record.withCrash(crash)
		}
		records[report.Part] = record
	}
	return PartTracker{records: records}.bounded()
}

// Crashing returns the first of the parts that crashes servers, and the number of servers that have crashed with it, or false
// if none does. AnsweredBefore reports whether a request with a part was answered shortly before its crashes.
func (tracker PartTracker) Crashing(parts []PartFingerprint, now time.Time, answeredBefore func(PartFingerprint) bool) (PartFingerprint, int, bool) {
	for _, part := range parts {
		if record, ok := tracker.records[part]; ok && tracker.isCrashing(part, now, answeredBefore) {
			return part, record.count(), true
		}
	}
	return 0, 0, false
}

// AllCrashing returns all parts that crash servers, in ascending order.
func (tracker PartTracker) AllCrashing(now time.Time, answeredBefore func(PartFingerprint) bool) []PartFingerprint {
	var parts []PartFingerprint
	for part := range tracker.records {
		if tracker.isCrashing(part, now, answeredBefore) {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// isCrashing reports whether a tracked part crashes servers.
func (tracker PartTracker) isCrashing(part PartFingerprint, now time.Time, answeredBefore func(PartFingerprint) bool) bool {
	record, limit, until := tracker.records[part], partCrashLimit, now
	if record.answersWithout < minAnswersWithout || record.count() < partCrashLimit {
		return false
	}
	if !record.answeredAt.IsZero() || answeredBefore(part) {
		limit, until = partCrashLimitAnswered, now.Add(-partSettleTime)
	}
	return countEvidence(tracker.unexplained(record, until)) >= limit
}

// unexplained returns the crashes of a record up to a time, without those of servers that also crashed with a part against which there is
// more evidence. While a part crashes one server after the other, rare sound parts are in flight at some of them.
func (tracker PartTracker) unexplained(record partRecord, until time.Time) []PartCrash {
	count, explained := record.count(), map[string]bool{}
	for _, other := range tracker.records {
		if len(other.crashes) <= count || other.count() <= count {
			continue
		}
		for _, crash := range other.crashes {
			explained[crash.Server] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(record.crashes), func(crash PartCrash) bool { return explained[crash.Server] || crash.At.After(until) })
}

// weight returns the number of crashes of a part, those before its last answer included.
func (tracker PartTracker) weight(part PartFingerprint) int {
	record := tracker.records[part]
	return record.count() + record.cleared
}

// Len returns the number of tracked parts.
func (tracker PartTracker) Len() int { return len(tracker.records) }

// WithMaxAge returns the tracker without the crashes that are at least limit old, and without parts that were cleared some
// time ago.
func (tracker PartTracker) WithMaxAge(now time.Time, limit time.Duration) PartTracker {
	isOld := func(_ PartFingerprint, record partRecord) bool {
		age := now.Sub(record.latest())
		return age >= limit || len(record.crashes) == 0 && age >= answeredPartTTL
	}
	for part, record := range tracker.records {
		if isOld(part, record) {
			records := maps.Clone(tracker.records)
			maps.DeleteFunc(records, isOld)
			return PartTracker{records: records}
		}
	}
	return tracker
}

// bounded returns the tracker with the maxParts parts that have the most crashes, the latest among these.
func (tracker PartTracker) bounded() PartTracker {
	if len(tracker.records) <= maxParts {
		return tracker
	}
	type candidate struct {
		part   PartFingerprint
		weight int
		latest time.Time
	}
	candidates := make([]candidate, 0, len(tracker.records))
	for part, record := range tracker.records {
		candidates = append(candidates, candidate{part, tracker.weight(part), record.latest()})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), b.latest.Compare(a.latest), cmp.Compare(a.part, b.part))
	})
	records := make(map[PartFingerprint]partRecord, maxParts)
	for _, kept := range candidates[:maxParts] {
		records[kept.part] = tracker.records[kept.part]
	}
	return PartTracker{records: records}
}
