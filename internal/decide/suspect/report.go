package suspect

import (
	"cmp"
	"slices"
	"time"
)

// MaxClockLead is how far the time of a report may be ahead of the clock of the entry that receives it. Clocks of VMs differ by
// seconds at most, and reports count for minutes to an hour.
const MaxClockLead = time.Minute

// Report is an observation that a server crashed with a request in flight, or that a request finished.
type Report struct {
	Fingerprint Fingerprint
	// Server is the id of the server that crashed, empty if the request finished.
	Server string
	At     time.Time
}

// Expires returns the time from which the report no longer counts.
func (report Report) Expires() time.Time { return report.At.Add(crashTTL) }

// Reports returns all crashes and completions in the tracker as reports, in no particular order.
func (tracker Tracker) Reports() []Report {
	var reports []Report
	for fingerprint, record := range tracker.records {
		for server, at := range record.crashes {
			reports = append(reports, Report{Fingerprint: fingerprint, Server: server, At: at})
		}
		if !record.finishedAt.IsZero() {
			reports = append(reports, Report{Fingerprint: fingerprint, At: record.finishedAt})
		}
	}
	return reports
}

// minCrashesOfFinished is the number of servers that must have crashed with a request in flight for its completion to be
// reported. Fewer make no entry refuse the request.
const minCrashesOfFinished = 2

// TopReports returns at most limit reports of requests with which servers crashed within a duration before now: those of the
// requests with the most crashes first, and among these the latest ones first. A request that has finished since its crashes
// is reported as finished, since an entry that refuses it cannot see it finish.
//
// When many servers crash at once, most of the requests in flight did not cause a crash, and
// reports of all of them would be too large to send to peers repeatedly.
func (tracker Tracker) TopReports(limit int, now time.Time, within time.Duration) []Report {
	var reports []Report
	for fingerprint, record := range tracker.records {
		recent := 0
		for server, at := range record.crashes {
			if now.Sub(at) >= within {
				continue
			}
			recent++
			if at.After(record.finishedAt) {
				reports = append(reports, Report{Fingerprint: fingerprint, Server: server, At: at})
			}
		}
		if recent >= minCrashesOfFinished && !record.finishedAt.IsZero() {
			reports = append(reports, Report{Fingerprint: fingerprint, At: record.finishedAt})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		crashes := func(report Report) int { return len(tracker.records[report.Fingerprint].crashes) }
		return cmp.Or(cmp.Compare(crashes(b), crashes(a)), b.At.Compare(a.At))
	})
	return reports[:min(limit, len(reports))]
}

// WithReports returns the tracker merged with reports; their order and repetitions do not matter.
func (tracker Tracker) WithReports(reports []Report) Tracker {
	var changes map[Fingerprint]crashRecord
	for _, report := range reports {
		if tracker.contains(report) {
			continue
		}
		if changes == nil {
			changes = map[Fingerprint]crashRecord{}
		}
		change := crashRecord{finishedAt: report.At}
		if report.Server != "" {
			change = crashRecord{crashes: map[string]time.Time{report.Server: report.At}}
		}
		changes[report.Fingerprint] = changes[report.Fingerprint].merge(change)
	}
	if changes == nil {
		return tracker
	}
	return tracker.Merge(Tracker{records: changes})
}

// contains reports whether the tracker has the report, or a later one of the same kind, so that merging it would
// change nothing.
func (tracker Tracker) contains(report Report) bool {
	current := tracker.records[report.Fingerprint]
	if report.Server == "" {
		return !report.At.After(current.finishedAt)
	}
	at, exists := current.crashes[report.Server]
	return exists && !report.At.After(at)
}
