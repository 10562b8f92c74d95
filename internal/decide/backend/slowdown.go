package backend

import (
	"iter"
	"maps"
	"time"
)

// SlowdownReportTTL is the age from which a report is no longer forwarded; a server is
// typically slow for about ten seconds at a time.
const SlowdownReportTTL = 10 * time.Second

// SlowdownReport is one entry's estimate of the slowdown of a server.
type SlowdownReport struct {
	// Slowdown is the server's time per unit of work as a multiple of the usual time.
	Slowdown float64
	// Age is the time since the latest sample. Entries exchange ages because their clocks differ.
	Age time.Duration
}

// SlowdownReports holds the latest report about each server, for exchange between
// entries; the zero value is empty.
//
// It has reports about servers that were found slow, and about servers that were found fast again after that.
type SlowdownReports struct {
	servers map[string]SlowdownReport
}

// All returns an iterator over the reports by server name, in no particular order.
func (slowdownReports SlowdownReports) All() iter.Seq2[string, SlowdownReport] {
	return maps.All(slowdownReports.servers)
}

// Len returns the number of servers with a report.
func (slowdownReports SlowdownReports) Len() int { return len(slowdownReports.servers) }

// WithReport returns the reports with one about server added, unless they have a later one
// about that server or the slowdown is not a positive number.
func (slowdownReports SlowdownReports) WithReport(server string, report SlowdownReport) SlowdownReports {
	return slowdownReports.Merge(SlowdownReports{servers: map[string]SlowdownReport{server: report}})
}

// Merge returns the latest report about each server; of two with equal age, it returns the one with the
// larger slowdown.
//
// It is commutative, associative and idempotent if all ages refer to the same time.
func (slowdownReports SlowdownReports) Merge(other SlowdownReports) SlowdownReports {
	merged := make(map[string]SlowdownReport, len(slowdownReports.servers)+len(other.servers))
	maps.Copy(merged, slowdownReports.servers)
	for server, report := range other.servers {
		if !(report.Slowdown > 0) { //nolint:staticcheck // the negated comparison also skips NaN
			continue
		}
		report.Slowdown = min(max(report.Slowdown, 1.0/maxSampleRatio), maxSampleRatio)
		report.Age = max(0, report.Age)
		current, ok := merged[server]
		if !ok || report.Age < current.Age || (report.Age == current.Age && report.Slowdown > current.Slowdown) {
			merged[server] = report
		}
	}
	return SlowdownReports{servers: merged}
}

// WithElapsed returns the reports with elapsed added to their ages, without those that are too old to be
// forwarded.
func (slowdownReports SlowdownReports) WithElapsed(elapsed time.Duration) SlowdownReports {
	aged := make(map[string]SlowdownReport, len(slowdownReports.servers))
	for server, report := range slowdownReports.servers {
		report.Age += elapsed
		if report.Age < SlowdownReportTTL {
			aged[server] = report
		}
	}
	return SlowdownReports{servers: aged}
}

// SlowdownReports returns this entry's reports about servers that its own requests showed to be slow, or
// fast again.
func (fleet Fleet) SlowdownReports(now time.Time) SlowdownReports {
	reports := map[string]SlowdownReport{}
	for name, server := range fleet.servers {
		if report, ok := server.Observation.Load().slowdownReport(now); ok {
			reports[name] = report
		}
	}
	return SlowdownReports{servers: reports}
}

// ApplySlowdownReports records the reports of other entries in the observations of the servers.
func (fleet Fleet) ApplySlowdownReports(slowdownReports SlowdownReports, now time.Time) {
	for name, report := range slowdownReports.servers {
		if server, ok := fleet.servers[name]; ok {
			server.Observation.Update(func(observation Observation) Observation { return observation.WithSlowdownReport(now, report) })
		}
	}
}

// peerSlowdown is the latest report of another entry about a server; measuredAt is zero for none.
type peerSlowdown struct {
	slowdown   float64
	measuredAt time.Time
}

// WithSlowdownReport returns the observation with the report of another entry, unless it has a later one.
func (observation Observation) WithSlowdownReport(now time.Time, report SlowdownReport) Observation {
	measuredAt := now.Add(-report.Age)
	if measuredAt.After(observation.peerSlowdown.measuredAt) {
		observation.peerSlowdown = peerSlowdown{slowdown: report.Slowdown, measuredAt: measuredAt}
	}
	return observation
}

// ExpectedSlowdown returns the slowdown to expect of the server's next answer.
//
// It is the entry's own estimate, or the report of another entry if that is later and
// larger. A peer's report makes a server less likely to be chosen but does not eject it,
// since only the network path from that peer to the server may have been slow.
func (observation Observation) ExpectedSlowdown(now time.Time) float64 {
	ownSlowdown := observation.Slowdown(now)
	if observation.peerSlowdown.measuredAt.IsZero() || !observation.peerSlowdown.measuredAt.After(observation.sampledAt) {
		return ownSlowdown
	}
	return max(ownSlowdown, decayed(observation.peerSlowdown.slowdown, now.Sub(observation.peerSlowdown.measuredAt)))
}

// slowdownReport returns the entry's own report, and whether to send it to peers: if the
// server is slow, or if it is not slow and so contradicts a recent report of a peer.
func (observation Observation) slowdownReport(now time.Time) (SlowdownReport, bool) {
	if overdue := observation.overdueRatio(now); overdue >= ejectSlowdown {
		return SlowdownReport{Slowdown: overdue}, true
	}
	age := now.Sub(observation.sampledAt)
	if observation.sampledAt.IsZero() || age >= SlowdownReportTTL {
		return SlowdownReport{}, false
	}
	contradictsPeer := observation.peerSlowdown.slowdown > restoreSlowdown && now.Sub(observation.peerSlowdown.measuredAt) < SlowdownReportTTL && observation.slowdown <= restoreSlowdown
	return SlowdownReport{Slowdown: observation.slowdown, Age: max(0, age)}, observation.slowdown > restoreSlowdown || contradictsPeer
}
