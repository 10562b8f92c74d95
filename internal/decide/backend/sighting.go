package backend

import (
	"iter"
	"maps"
	"time"
)

// SightingLife is the age from which a sighting is not passed on; servers are
// slowed for about ten seconds at a time.
const SightingLife = 10 * time.Second

// Sighting is what some entry saw of a server's speed.
type Sighting struct {
	// Slowness is the server's time per unit of work as a multiple of its equals'.
	Slowness float64
	// Age is the time since work showed it. An age needs no common clock.
	Age time.Duration
}

// Sightings are the youngest sighting of each server, for entries to exchange;
// the zero value has none.
//
// They name servers that were seen slow, and those seen fast again since.
type Sightings struct {
	servers map[string]Sighting
}

// All yields the sightings by server in no particular order.
func (sightings Sightings) All() iter.Seq2[string, Sighting] { return maps.All(sightings.servers) }

// Len returns the number of servers that were seen.
func (sightings Sightings) Len() int { return len(sightings.servers) }

// WithSighting returns the sightings with one more, unless a younger one of the
// server is known or the slowness is no positive number.
func (sightings Sightings) WithSighting(server string, sighting Sighting) Sightings {
	return sightings.Merge(Sightings{servers: map[string]Sighting{server: sighting}})
}

// Merge returns the youngest sighting of each server, and the slowest of several of one age.
//
// It is commutative, associative and idempotent, for ages of the same time.
func (sightings Sightings) Merge(other Sightings) Sightings {
	next := make(map[string]Sighting, len(sightings.servers)+len(other.servers))
	maps.Copy(next, sightings.servers)
	for server, found := range other.servers {
		if !(found.Slowness > 0) { //nolint:staticcheck // the form also leaves out what is not a number
			continue
		}
		found.Slowness = min(max(found.Slowness, 1.0/maxSampleRatio), maxSampleRatio)
		found.Age = max(0, found.Age)
		known, ok := next[server]
		if !ok || found.Age < known.Age || (found.Age == known.Age && found.Slowness > known.Slowness) {
			next[server] = found
		}
	}
	return Sightings{servers: next}
}

// WithAge returns the sightings after a time, without those that are too old to be passed on.
func (sightings Sightings) WithAge(elapsed time.Duration) Sightings {
	next := make(map[string]Sighting, len(sightings.servers))
	for server, sighting := range sightings.servers {
		sighting.Age += elapsed
		if sighting.Age < SightingLife {
			next[server] = sighting
		}
	}
	return Sightings{servers: next}
}

// Sightings returns what this entry's own work showed of the servers' speed.
func (fleet Fleet) Sightings(now time.Time) Sightings {
	own := map[string]Sighting{}
	for name, server := range fleet.servers {
		if sighting, ok := server.Observation.Load().slowdownReport(now); ok {
			own[name] = sighting
		}
	}
	return Sightings{servers: own}
}

// Heard records what other entries saw, in the observations of the servers.
func (fleet Fleet) Heard(sightings Sightings, now time.Time) {
	for name, sighting := range sightings.servers {
		if server, ok := fleet.servers[name]; ok {
			server.Observation.Update(func(observation Observation) Observation { return observation.WithHeard(now, sighting) })
		}
	}
}

// peerSlowdown is the youngest sighting of a server by another entry.
type peerSlowdown struct {
	slowdown float64
	at       time.Time
}

// WithHeard returns the observation with what another entry saw, unless a younger sighting is known.
func (observation Observation) WithHeard(now time.Time, sighting Sighting) Observation {
	at := now.Add(-sighting.Age)
	if at.After(observation.peerSlowdown.at) {
		observation.peerSlowdown = peerSlowdown{slowdown: sighting.Slowness, at: at}
	}
	return observation
}

// Suspicion returns the slowness that the server is to be expected to have.
//
// It is the entry's own estimate, or what another entry has seen since. What
// was heard makes a server less likely to be chosen and does not eject it,
// since only the way from that entry to the server may have been slow.
func (observation Observation) Suspicion(now time.Time) float64 {
	own := observation.Slowness(now)
	if observation.peerSlowdown.at.IsZero() || !observation.peerSlowdown.at.After(observation.sampledAt) {
		return own
	}
	return max(own, decayed(observation.peerSlowdown.slowdown, now.Sub(observation.peerSlowdown.at)))
}

// slowdownReport returns what the entry's own work showed, if it is worth passing on.
func (observation Observation) slowdownReport(now time.Time) (Sighting, bool) {
	if overdue := observation.overdueRatio(now); overdue >= ejectSlowdown {
		return Sighting{Slowness: overdue}, true
	}
	age := now.Sub(observation.sampledAt)
	if observation.sampledAt.IsZero() || age >= SightingLife {
		return Sighting{}, false
	}
	refutes := observation.peerSlowdown.slowdown > restoreSlowdown && now.Sub(observation.peerSlowdown.at) < SightingLife && observation.slowdown <= restoreSlowdown
	return Sighting{Slowness: observation.slowdown, Age: max(0, age)}, observation.slowdown > restoreSlowdown || refutes
}
