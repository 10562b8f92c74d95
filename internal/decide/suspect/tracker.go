package suspect

import (
	"maps"
	"time"
)

// Verdict determines how a request is run: as usual, isolated from other suspects, or not at all.
type Verdict string

// The verdicts, in rising order of restriction.
const (
	VerdictClear       Verdict = "Clear"
	VerdictSuspect     Verdict = "Suspect"
	VerdictQuarantined Verdict = "Quarantined"
)

const (
	// quarantineThreshold is the number of different servers after whose crashes a request is
	// quarantined. One crash may be due to other work on the server, and each further attempt
	// may cost another server.
	quarantineThreshold = 2
	// crashingLimit is the number of apparent crashes from which [Tracker.IsCrashing] reports a request, and
	// crashingLimitFinished that for a request that has finished recently. A lost answer looks the same as a crash, so one or
	// two of them prove nothing, and a request that crashes every server never finishes.
	crashingLimit         = 3
	crashingLimitFinished = 6
	// crashTTL is how long a crash counts, so that a quarantined request is tried again once
	// the servers may have been updated; the time also bounds the size of the tracker.
	crashTTL = time.Hour
)

// Tracker records which requests were in flight when servers crashed. The zero value is empty.
type Tracker struct {
	records map[Fingerprint]crashRecord
}

// crashRecord is what the tracker records about one request.
type crashRecord struct {
	// crashes are the times of the latest crash of each server with the request in flight, by server id.
	crashes map[string]time.Time
	// finishedAt is when the request last ran to completion, zero if it never did.
	finishedAt time.Time
}

// Verdict returns the verdict on the request with a fingerprint.
func (tracker Tracker) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	count := tracker.CrashCount(fingerprint, now, crashTTL)
	switch {
	case count >= quarantineThreshold:
		return VerdictQuarantined
	case count > 0:
		return VerdictSuspect
	}
	return VerdictClear
}

// CrashCount returns the number of servers that crashed with the request in flight, within a duration before now
// and since the request last finished.
func (tracker Tracker) CrashCount(fingerprint Fingerprint, now time.Time, within time.Duration) int {
	count := 0
	record := tracker.records[fingerprint]
	for _, at := range record.crashes {
		if at.After(record.finishedAt) && now.Sub(at) < within {
			count++
		}
	}
	return count
}

// IsCrashing reports whether a request is to be refused because so many servers crashed with it in flight, within a duration
// before now, and returns their number.
func (tracker Tracker) IsCrashing(fingerprint Fingerprint, now time.Time, within time.Duration) (bool, int) {
	finishedAt, limit := tracker.records[fingerprint].finishedAt, crashingLimit
	if !finishedAt.IsZero() && now.Sub(finishedAt) < within {
		limit = crashingLimitFinished
	}
	count := tracker.CrashCount(fingerprint, now, within)
	return count >= limit, count
}

// Len returns the number of recorded requests.
func (tracker Tracker) Len() int { return len(tracker.records) }

// WithCrash returns the tracker after server crashed with the request in flight.
func (tracker Tracker) WithCrash(fingerprint Fingerprint, server string, at time.Time) Tracker {
	return tracker.Merge(Tracker{records: map[Fingerprint]crashRecord{
		fingerprint: {crashes: map[string]time.Time{server: at}},
	}}).WithExpired(at)
}

// WithFinished returns the tracker after the request ran to completion, so that its earlier crashes no
// longer count.
func (tracker Tracker) WithFinished(fingerprint Fingerprint, at time.Time) Tracker {
	if _, ok := tracker.records[fingerprint]; !ok {
		return tracker
	}
	return tracker.Merge(Tracker{records: map[Fingerprint]crashRecord{fingerprint: {finishedAt: at}}})
}

// WithExpired returns the tracker without requests whose latest crash or completion is at least crashTTL old.
func (tracker Tracker) WithExpired(now time.Time) Tracker { return tracker.WithMaxAge(now, crashTTL) }

// WithMaxAge returns the tracker without requests whose latest crash or completion is at least limit old.
func (tracker Tracker) WithMaxAge(now time.Time, limit time.Duration) Tracker {
	expired := func(_ Fingerprint, record crashRecord) bool { return now.Sub(record.latest()) >= limit }
	anyExpired := false
	for fingerprint, record := range tracker.records {
		anyExpired = anyExpired || expired(fingerprint, record)
	}
	if !anyExpired {
		return tracker
	}
	next := maps.Clone(tracker.records)
	maps.DeleteFunc(next, expired)
	return Tracker{records: next}
}

// Merge returns the tracker with the records of both trackers.
//
// It is commutative, associative and idempotent: the latest crash of each server
// and the latest completion of each request are kept.
func (tracker Tracker) Merge(other Tracker) Tracker {
	next := maps.Clone(tracker.records)
	if next == nil {
		next = make(map[Fingerprint]crashRecord, len(other.records))
	}
	for fingerprint, record := range other.records {
		next[fingerprint] = next[fingerprint].merge(record)
	}
	return Tracker{records: next}
}

func (current crashRecord) merge(other crashRecord) crashRecord {
	crashes := make(map[string]time.Time, len(current.crashes)+len(other.crashes))
	maps.Copy(crashes, current.crashes)
	for server, at := range other.crashes {
		crashes[server] = later(crashes[server], at)
	}
	return crashRecord{crashes: crashes, finishedAt: later(current.finishedAt, other.finishedAt)}
}

// latest returns the time of the latest crash or completion.
func (current crashRecord) latest() time.Time {
	latest := current.finishedAt
	for _, at := range current.crashes {
		latest = later(latest, at)
	}
	return latest
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
