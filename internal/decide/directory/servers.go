package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state that a server reports in the store.
type State string

// The states of a server.
const (
	StateReady   State = "Ready"
	StateLeaving State = "Leaving"
)

// Server is a backend server as it registered itself in the store.
type Server struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Domain  string
	Slots   int
	State   State
	// StartedMs is when the incarnation started, in milliseconds since 1970, 0 if the server does not report it.
	StartedMs int64
	// Reclaimable reports whether the cloud may reclaim the server. Such servers cost less, and all those of a
	// failure domain may be reclaimed at the same time.
	Reclaimable bool
}

const (
	// outageGap is the time between two snapshots above which the store counts as having had an outage.
	outageGap = 1500 * time.Millisecond
	// returnGrace is the time after an outage for which servers that are not listed are kept,
	// so that those whose registrations expired in the outage can register again.
	returnGrace = 2 * time.Second
	// departureRetention is how long a departure is kept after it was learned, once the server is no longer listed.
	departureRetention = time.Minute
)

// Servers are the backend servers that may take work.
type Servers struct {
	services map[string][]Server
	byID     map[string]Server
	// departures are the incarnations that are leaving, by server id.
	departures map[string]departure
	// generation increases with each change.
	generation uint64
	revision   int64
	currentAt  time.Duration
	// graceUntil is the time until which servers that are not listed are kept.
	graceUntil time.Duration
	// lastListing is the latest listing, and retained reports whether byID has servers that are not in it.
	lastListing []Server
	retained    bool
}

// departure is an incarnation that is leaving, and when this entry learned of it.
type departure struct {
	startedMs int64
	learnedAt time.Duration
}

// Generation returns a number that increases with each change of the servers.
func (servers Servers) Generation() uint64 { return servers.generation }

// Revision returns the store's revision of the latest listing.
func (servers Servers) Revision() int64 { return servers.revision }

// OfService returns the servers of a service that may take work. The caller must not change them.
func (servers Servers) OfService(service string) []Server { return servers.services[service] }

// All returns all servers by id, including leaving ones. The caller must not change the map.
func (servers Servers) All() map[string]Server { return servers.byID }

// WithSnapshot returns the servers after a listing; one of a lower revision changes nothing.
//
// Servers that are missing from the first listings after an outage of the store are
// kept for returnGrace.
func (servers Servers) WithSnapshot(snapshot Snapshot[[]Server]) Servers {
	if snapshot.Revision < servers.revision {
		return servers
	}
	if servers.revision > 0 && snapshot.CurrentAt-servers.currentAt > outageGap {
		servers.graceUntil = snapshot.CurrentAt + returnGrace
	}
	servers.revision = snapshot.Revision
	servers.currentAt = max(servers.currentAt, snapshot.CurrentAt)
	if !servers.retained && servers.byID != nil && slices.Equal(servers.lastListing, snapshot.Value) {
		return servers
	}
	servers.lastListing, servers.retained = snapshot.Value, false
	byID := make(map[string]Server, len(snapshot.Value))
	departures := maps.Clone(servers.departures)
	if departures == nil {
		departures = map[string]departure{}
	}
	for _, server := range snapshot.Value {
		if last, ok := departures[server.ID]; server.State == StateLeaving && (!ok || last.startedMs != server.StartedMs) {
			departures[server.ID] = departure{server.StartedMs, snapshot.CurrentAt}
		}
		byID[server.ID] = server
	}
	maps.DeleteFunc(departures, func(id string, last departure) bool {
		_, listed := byID[id]
		return !listed && snapshot.CurrentAt-last.learnedAt > departureRetention
	})
	if snapshot.CurrentAt < servers.graceUntil {
		for id, server := range servers.byID {
			if _, listed := byID[id]; !listed {
				byID[id], servers.retained = server, true
			}
		}
	}
	servers.byID, servers.departures = byID, departures
	return servers.reindexed()
}

// WithLeaving returns the servers after notice that an incarnation of a server is leaving.
func (servers Servers) WithLeaving(id string, startedMs int64, now time.Duration) Servers {
	if last, ok := servers.departures[id]; ok && last.startedMs == startedMs {
		return servers
	}
	departures := maps.Clone(servers.departures)
	if departures == nil {
		departures = map[string]departure{}
	}
	departures[id] = departure{startedMs, now}
	servers.departures = departures
	return servers.reindexed()
}

// DeparturesSince returns the incarnations of which this entry learned since a time that they are leaving, by server id.
func (servers Servers) DeparturesSince(since time.Duration) map[string]int64 {
	var recent map[string]int64
	for id, departure := range servers.departures {
		if departure.learnedAt < since {
			continue
		}
		if recent == nil {
			recent = map[string]int64{}
		}
		recent[id] = departure.startedMs
	}
	return recent
}

// reindexed returns the servers with services rebuilt and the generation incremented.
func (servers Servers) reindexed() Servers {
	servers.generation++
	servers.services = map[string][]Server{}
	for id, server := range servers.byID {
		last, leaving := servers.departures[id]
		if leaving && last.startedMs == server.StartedMs {
			continue
		}
		servers.services[server.Service] = append(servers.services[server.Service], server)
	}
	for _, list := range servers.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return servers
}
