package suspect

import (
	"cmp"
	"slices"
	"time"
)

// Report is one crash of a server with a request in flight, or the end of a request that finished.
type Report struct {
	Fingerprint Fingerprint
	// Server is the server that crashed, empty when the request finished.
	Server string
	At     time.Time
}

// Expires returns when the report no longer counts.
func (report Report) Expires() time.Time { return report.At.Add(life) }

// Reports returns all that the register holds, in no particular order.
func (tracker Tracker) Reports() []Report {
	var reports []Report
	for fingerprint, found := range tracker.records {
		for server, at := range found.crashes {
			reports = append(reports, Report{Fingerprint: fingerprint, Server: server, At: at})
		}
		if !found.finished.IsZero() {
			reports = append(reports, Report{Fingerprint: fingerprint, At: found.finished})
		}
	}
	return reports
}

// TopCrashReports returns at most that many reports of crashes within a time: those of the requests with
// the most crashes first, and the newest ones among equals.
//
// When many servers crash at once, most requests in flight are innocent, and all of them
// would be too much to tell others again and again.
func (tracker Tracker) TopCrashReports(most int, now time.Time, within time.Duration) []Report {
	var reports []Report
	for fingerprint, found := range tracker.records {
		for server, at := range found.crashes {
			if at.After(found.finished) && now.Sub(at) < within {
				reports = append(reports, Report{Fingerprint: fingerprint, Server: server, At: at})
			}
		}
	}
	slices.SortFunc(reports, func(one, other Report) int {
		crashes := func(report Report) int { return len(tracker.records[report.Fingerprint].crashes) }
		return cmp.Or(cmp.Compare(crashes(other), crashes(one)), other.At.Compare(one.At))
	})
	return reports[:min(most, len(reports))]
}

// WithReports returns the register joined with reports, in whichever order and however often they come.
func (tracker Tracker) WithReports(reports []Report) Tracker {
	var news map[Fingerprint]record
	for _, report := range reports {
		if tracker.knows(report) {
			continue
		}
		if news == nil {
			news = map[Fingerprint]record{}
		}
		fresh := record{finished: report.At}
		if report.Server != "" {
			fresh = record{crashes: map[string]time.Time{report.Server: report.At}}
		}
		news[report.Fingerprint] = news[report.Fingerprint].merge(fresh)
	}
	if news == nil {
		return tracker
	}
	return tracker.Merge(Tracker{records: news})
}

// knows reports whether a report changes nothing.
func (tracker Tracker) knows(report Report) bool {
	found := tracker.records[report.Fingerprint]
	if report.Server == "" {
		return !report.At.After(found.finished)
	}
	at, known := found.crashes[report.Server]
	return known && !report.At.After(at)
}
