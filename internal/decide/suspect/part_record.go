package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partCrashSpacing is the time between crashes below which they count as one. Servers that crash at once have another cause than a
	// request at each of them.
	partCrashSpacing = 100 * time.Millisecond
	// maxPartCrashes is the number of crashes that are kept of a part, the first ones since it was answered that are evidence.
	maxPartCrashes = 8
)

// PartCrash is the crash of a server while a request with a part was in flight there, of whose answer it had written nothing or only the
// beginning.
type PartCrash struct {
	// Server is the incarnation of the server, and Request the content of the request's fingerprint.
	Server  string
	Request uint64
	At      time.Time
}

// partRecord is what a tracker records of one part.
type partRecord struct {
	// crashes are those since the part was last answered, oldest first.
	crashes []PartCrash
	// answeredAt is when a request with the part was last answered, zero for never.
	answeredAt time.Time
	// cleared is the number of crashes after which the part was answered.
	cleared int
	// answersWithout is the number of requests without the part that this entry has seen answered since the first crash.
	answersWithout int
}

// count returns the number of crashes that are evidence.
func (record partRecord) count() int { return countEvidence(record.crashes) }

// countEvidence returns the number of crashes that are evidence against a part: of different servers, with different requests, at different
// times. The crashes must be sorted.
func countEvidence(crashes []PartCrash) int {
	servers, requests, moments := map[string]bool{}, map[uint64]bool{}, 0
	var latest time.Time
	for _, crash := range crashes {
		servers[crash.Server], requests[crash.Request] = true, true
		if crash.At.Sub(latest) >= partCrashSpacing {
			moments, latest = moments+1, crash.At
		}
	}
	return min(len(servers), len(requests), moments)
}

// latest returns the time of the latest crash or answer.
func (record partRecord) latest() time.Time {
	latest := record.answeredAt
	for _, crash := range record.crashes {
		latest = later(latest, crash.At)
	}
	return latest
}

func (record partRecord) withCrash(crash PartCrash) partRecord {
	isKnown := slices.ContainsFunc(record.crashes, func(known PartCrash) bool {
		return known.Server == crash.Server && known.Request == crash.Request
	})
	if isKnown || !crash.At.After(record.answeredAt) {
		return record
	}
	record.crashes = mostEvident(append(slices.Clone(record.crashes), crash))
	return record
}

// mostEvident returns the maxPartCrashes crashes that are most evidence, oldest first: those that add to what is known from all before them,
// and then the others. A server that runs many requests with a part when it crashes would otherwise displace the crashes of all other servers,
// as would a crash of many servers at once.
func mostEvident(crashes []PartCrash) []PartCrash {
	slices.SortFunc(crashes, PartCrash.compare)
	var evident, others []PartCrash
	for _, crash := range crashes {
		if slices.ContainsFunc(evident, crash.repeats) {
			others = append(others, crash)
		} else {
			evident = append(evident, crash)
		}
	}
	kept := append(evident, others...)
	kept = kept[:min(maxPartCrashes, len(kept))]
	slices.SortFunc(kept, PartCrash.compare)
	return kept
}

// repeats reports whether a crash adds nothing to an earlier one.
func (crash PartCrash) repeats(earlier PartCrash) bool {
	return crash.Server == earlier.Server || crash.Request == earlier.Request || crash.At.Sub(earlier.At) < partCrashSpacing
}

// compare orders crashes by time, and those of the same time by what they are about, so that entries agree on the order.
func (crash PartCrash) compare(other PartCrash) int {
	return cmp.Or(crash.At.Compare(other.At), cmp.Compare(crash.Server, other.Server), cmp.Compare(crash.Request, other.Request))
}

func (record partRecord) withAnswer(at time.Time) partRecord {
	if !at.After(record.answeredAt) {
		return record
	}
	remaining := slices.DeleteFunc(slices.Clone(record.crashes), func(crash PartCrash) bool { return !crash.At.After(at) })
	record.cleared += len(record.crashes) - len(remaining)
	record.crashes, record.answeredAt, record.answersWithout = remaining, at, 0
	return record
}
