package backend

import (
	"iter"
	"maps"
	"time"
)

// SlowdownReportTTL is the age from which a sighting is not passed on; servers are
// slowed for about ten seconds at a time.
const SlowdownReportTTL = 10 * time.Second

// SlowdownReport is what some entry saw of a server's speed.
type SlowdownReport struct {
	// Slowdown is the server's time per unit of work as a multiple of its equals'.
	Slowdown float64
	// Age is the time since work showed it. An age needs no common clock.
	Age time.Duration
}

// SlowdownReports are the youngest sighting of each server, for entries to exchange;
// the zero value has none.
//
// They name servers that were seen slow, and those seen fast again since.
type SlowdownReports struct {
	servers map[string]SlowdownReport
}

// All yields the sightings by server in no particular order.
func (slowdownReports SlowdownReports) All() iter.Seq2[string, SlowdownReport] {
	return maps.All(slowdownReports.servers)
}

// Len returns the number of servers that were seen.
func (slowdownReports SlowdownReports) Len() int { return len(slowdownReports.servers) }

// WithReport returns the sightings with one more, unless a younger one of the
// server is known or the slowness is no positive number.
func (slowdownReports SlowdownReports) WithReport(server string, sighting SlowdownReport) SlowdownReports {
	return slowdownReports.Merge(SlowdownReports{servers: map[string]SlowdownReport{server: sighting}})
}

// Merge returns the youngest sighting of each server, and the slowest of several of one age.
//
// It is commutative, associative and idempotent, for ages of the same time.
func (slowdownReports SlowdownReports) Merge(other SlowdownReports) SlowdownReports {
	next := make(map[string]SlowdownReport, len(slowdownReports.servers)+len(other.servers))
	maps.Copy(next, slowdownReports.servers)
	for server, found := range other.servers {
		if !(found.Slowdown > 0) { //nolint:staticcheck // the form also leaves out what is not a number
			continue
		}
		found.Slowdown = min(max(found.Slowdown, 1.0/maxSample), maxSample)
		found.Age = max(0, found.Age)
		known, ok := next[server]
		if !ok || found.Age < known.Age || (found.Age == known.Age && found.Slowdown > known.Slowdown) {
			next[server] = found
		}
	}
	return SlowdownReports{servers: next}
}

// WithAge returns the sightings after a time, without those that are too old to be passed on.
func (slowdownReports SlowdownReports) WithAge(elapsed time.Duration) SlowdownReports {
	next := make(map[string]SlowdownReport, len(slowdownReports.servers))
	for server, sighting := range slowdownReports.servers {
		sighting.Age += elapsed
		if sighting.Age < SlowdownReportTTL {
			next[server] = sighting
		}
	}
	return SlowdownReports{servers: next}
}

// SlowdownReports returns what this entry's own work showed of the servers' speed.
func (fleet Fleet) SlowdownReports(now time.Time) SlowdownReports {
	own := map[string]SlowdownReport{}
	for name, server := range fleet.servers {
		if sighting, ok := server.Observation.Load().sighting(now); ok {
			own[name] = sighting
		}
	}
	return SlowdownReports{servers: own}
}

// ApplySlowdownReports records what other entries saw, in the observations of the servers.
func (fleet Fleet) ApplySlowdownReports(sightings SlowdownReports, now time.Time) {
	for name, sighting := range sightings.servers {
		if server, ok := fleet.servers[name]; ok {
			server.Observation.Update(func(observation Observation) Observation { return observation.WithSlowdownReport(now, sighting) })
		}
	}
}

// heard is the youngest sighting of a server by another entry.
type heard struct {
	slowness float64
	at       time.Time
}

// WithSlowdownReport returns the observation with what another entry saw, unless a younger sighting is known.
func (observation Observation) WithSlowdownReport(now time.Time, sighting SlowdownReport) Observation {
	at := now.Add(-sighting.Age)
	if at.After(observation.heard.at) {
		observation.heard = heard{slowness: sighting.Slowdown, at: at}
	}
	return observation
}

// ExpectedSlowdown returns the slowness that the server is to be expected to have.
//
// It is the entry's own estimate, or what another entry has seen since. What
// was heard makes a server less likely to be chosen and does not eject it,
// since only the way from that entry to the server may have been slow.
func (observation Observation) ExpectedSlowdown(now time.Time) float64 {
	own := observation.Slowdown(now)
	if observation.heard.at.IsZero() || !observation.heard.at.After(observation.sampled) {
		return own
	}
	return max(own, faded(observation.heard.slowness, now.Sub(observation.heard.at)))
}

// sighting returns what the entry's own work showed, if it is worth passing on.
func (observation Observation) sighting(now time.Time) (SlowdownReport, bool) {
	if overdue := observation.overdue(now); overdue >= ejectAt {
		return SlowdownReport{Slowdown: overdue}, true
	}
	age := now.Sub(observation.sampled)
	if observation.sampled.IsZero() || age >= SlowdownReportTTL {
		return SlowdownReport{}, false
	}
	refutes := observation.heard.slowness > restoreAt && now.Sub(observation.heard.at) < SlowdownReportTTL && observation.slowness <= restoreAt
	return SlowdownReport{Slowdown: observation.slowness, Age: max(0, age)}, observation.slowness > restoreAt || refutes
}
