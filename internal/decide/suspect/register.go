package suspect

import (
	"maps"
	"time"
)

// Verdict says how a request is to be run.
type Verdict string

// The verdicts.
const (
	VerdictClear       Verdict = "Clear"
	VerdictSuspect     Verdict = "Suspect"
	VerdictQuarantined Verdict = "Quarantined"
)

const (
	// maxServers is the number of different servers that a request may crash: one
	// crash may be due to other work on the server, and each further one costs a server.
	maxServers = 2
	// life bounds how long a crash counts, so that a request is tried again after a
	// new version of the servers; it also bounds the register.
	life = time.Hour
)

// Tracker is what is known of the requests that were in flight at crashes.
type Tracker struct {
	records map[Fingerprint]record
}

// record is the crashes of one request by server, and when it last finished.
type record struct {
	crashes  map[string]time.Time
	finished time.Time
}

// Verdict returns how the request of that fingerprint is to be run.
func (tracker Tracker) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	count := tracker.Crashes(fingerprint, now, life)
	switch {
	case count >= maxServers:
		return VerdictQuarantined
	case count > 0:
		return VerdictSuspect
	}
	return VerdictClear
}

// Crashes returns the number of servers that crashed within a time with the request in flight, and since it last finished.
func (tracker Tracker) Crashes(fingerprint Fingerprint, now time.Time, within time.Duration) int {
	count := 0
	found := tracker.records[fingerprint]
	for _, at := range found.crashes {
		if at.After(found.finished) && now.Sub(at) < within {
			count++
		}
	}
	return count
}

// Len returns the number of requests with a record.
func (tracker Tracker) Len() int { return len(tracker.records) }

// WithCrash returns the register after server crashed with the request in flight.
func (tracker Tracker) WithCrash(fingerprint Fingerprint, server string, at time.Time) Tracker {
	return tracker.Merge(Tracker{records: map[Fingerprint]record{
		fingerprint: {crashes: map[string]time.Time{server: at}},
	}}).WithExpired(at)
}

// WithFinished returns the register after the request ran to its end, which clears it of earlier crashes.
func (tracker Tracker) WithFinished(fingerprint Fingerprint, at time.Time) Tracker {
	if _, ok := tracker.records[fingerprint]; !ok {
		return tracker
	}
	return tracker.Merge(Tracker{records: map[Fingerprint]record{fingerprint: {finished: at}}})
}

// WithExpired returns the register without requests whose crashes no longer count for age.
func (tracker Tracker) WithExpired(now time.Time) Tracker { return tracker.WithMaxAge(now, life) }

// WithMaxAge returns the register without requests whose last crash or end is older than a time.
func (tracker Tracker) WithMaxAge(now time.Time, limit time.Duration) Tracker {
	expired := func(_ Fingerprint, record record) bool { return now.Sub(record.newest()) >= limit }
	found := false
	for fingerprint, record := range tracker.records {
		found = found || expired(fingerprint, record)
	}
	if !found {
		return tracker
	}
	next := maps.Clone(tracker.records)
	maps.DeleteFunc(next, expired)
	return Tracker{records: next}
}

// Merge returns the register that holds the records of both.
//
// It is commutative, associative and idempotent: for each server the newest
// crash counts, and for each request the newest finish.
func (tracker Tracker) Merge(other Tracker) Tracker {
	next := maps.Clone(tracker.records)
	if next == nil {
		next = make(map[Fingerprint]record, len(other.records))
	}
	for fingerprint, found := range other.records {
		next[fingerprint] = next[fingerprint].merge(found)
	}
	return Tracker{records: next}
}

func (current record) merge(other record) record {
	crashes := make(map[string]time.Time, len(current.crashes)+len(other.crashes))
	maps.Copy(crashes, current.crashes)
	for server, at := range other.crashes {
		crashes[server] = newer(crashes[server], at)
	}
	return record{crashes: crashes, finished: newer(current.finished, other.finished)}
}

func (current record) newest() time.Time {
	newest := current.finished
	for _, at := range current.crashes {
		newest = newer(newest, at)
	}
	return newest
}

func newer(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}
