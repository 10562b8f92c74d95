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
	// Domain names the failure domain.
	Domain string
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	State State
	// StartedMs is when the incarnation started, in milliseconds since 1970, 0 if the server does not report it.
	StartedMs int64
	// Reclaimable reports whether the cloud may reclaim the server. Such servers cost less, and all those of a
	// failure domain may be reclaimed at the same time.
	Reclaimable bool
	// Version names the version of the server's software.
	Version string
}

// departureRetention is how long a departure is kept after this entry learned of it or the server was listed last, whichever
// is later. It is longer than the time that a backup of the store lags behind, since a restored store lists the server again.
const departureRetention = time.Minute

// Servers are the registered backend servers, with those that may take work by service. It is immutable.
type Servers struct {
	// byService are the servers that may take work, ordered by id.
	byService map[string][]Server
	// byID are all servers, including leaving ones.
	byID map[string]Server
	// departures are the incarnations that are leaving. They are kept by incarnation, since a late answer or an outdated list may
	// tell of an earlier one after the current one has left.
	departures map[incarnation]departure
	// generation increases with each change.
	generation uint64
	// revision is that of the latest listing.
	revision    int64
	lastListing []Server
	// restoreListedAt is when this entry got the first listing of a later era than that of the one before, 0 for never.
	restoreListedAt time.Duration
}

// incarnation identifies the time from a start of a server to its end.
type incarnation struct {
	id        string
	startedMs int64
}

func (server Server) incarnation() incarnation { return incarnation{server.ID, server.StartedMs} }

// departure is when and how this entry learned that an incarnation is leaving.
type departure struct {
	learnedAt time.Duration
	// unlistedAt is the time of the first listing without the incarnation after one with it, 0 for none.
	unlistedAt time.Duration
	// listed reports that this entry learned it from a listing.
	listed bool
}

// Generation returns a number that increases with each change of the servers.
func (servers Servers) Generation() uint64 { return servers.generation }

// Revision returns the store's revision of the latest listing.
func (servers Servers) Revision() int64 { return servers.revision }

// RestoreListedAt returns when this entry got the first listing after the store was last restored from a backup, 0 for never.
func (servers Servers) RestoreListedAt() time.Duration { return servers.restoreListedAt }

// OfService returns the servers of a service that may take work. The caller must not change them.
func (servers Servers) OfService(service string) []Server { return servers.byService[service] }

// All returns all servers by id, including leaving ones. The caller must not change the map.
func (servers Servers) All() map[string]Server { return servers.byID }

// WithSnapshot returns the servers after a listing; one of a lower revision changes nothing.
func (servers Servers) WithSnapshot(snapshot Snapshot[[]Server]) Servers {
	if snapshot.Revision < servers.revision {
		return servers
	}
	if servers.revision > 0 && Era(snapshot.Revision) > Era(servers.revision) {
		servers.restoreListedAt = snapshot.CurrentAt
	}
	servers.revision = snapshot.Revision
	if servers.byID != nil && slices.Equal(servers.lastListing, snapshot.Value) {
		return servers
	}
	servers.lastListing = snapshot.Value
	byID := make(map[string]Server, len(snapshot.Value))
	departures := maps.Clone(servers.departures)
	if departures == nil {
		departures = map[incarnation]departure{}
	}
	for _, server := range snapshot.Value {
		if _, known := departures[server.incarnation()]; server.State == StateLeaving && !known {
			departures[server.incarnation()] = departure{learnedAt: snapshot.CurrentAt, listed: true}
		}
		byID[server.ID] = server
	}
	servers.departures = retained(departures, servers.byID, byID, snapshot.CurrentAt)
	servers.byID = byID
	return servers.reindexed()
}

// retained removes the departures of incarnations that are no longer listed and whose time has passed. It changes departures.
func retained(departures map[incarnation]departure, previous, listed map[string]Server, now time.Duration) map[incarnation]departure {
	for left, departure := range departures {
		switch {
		case isListed(listed, left):
		case isListed(previous, left):
			departure.unlistedAt = now
			departures[left] = departure
		case now-max(departure.learnedAt, departure.unlistedAt) > departureRetention:
			delete(departures, left)
		}
	}
	return departures
}

func isListed(servers map[string]Server, incarnation incarnation) bool {
	server, listed := servers[incarnation.id]
	return listed && server.StartedMs == incarnation.startedMs
}

// WithLeaving returns the servers after this entry learned that an incarnation of a server is leaving.
func (servers Servers) WithLeaving(id string, startedMs int64, now time.Duration) Servers {
	left := incarnation{id, startedMs}
	if _, known := servers.departures[left]; known {
		return servers
	}
	departures := maps.Clone(servers.departures)
	if departures == nil {
		departures = map[incarnation]departure{}
	}
	departures[left] = departure{learnedAt: now}
	servers.departures = departures
	return servers.reindexed()
}

// IsLeaving reports whether this entry has learned that the incarnation of a server is leaving.
func (servers Servers) IsLeaving(server Server) bool {
	_, leaving := servers.departures[server.incarnation()]
	return leaving
}

// UnlistedDepartures returns the incarnations that are leaving, as their start times in milliseconds since 1970 by server
// id, if this entry learned at the time since or later that they are leaving, and not from a listing. Of several incarnations
// of a server it returns the one with the latest start.
//
// Peers learn the others from the listing too, of which they get the changes. There may be thousands, when a fleet replaces its
// servers.
func (servers Servers) UnlistedDepartures(since time.Duration) map[string]int64 {
	var recent map[string]int64
	for left, departure := range servers.departures {
		if departure.listed || departure.learnedAt < since {
			continue
		}
		if recent == nil {
			recent = map[string]int64{}
		}
		recent[left.id] = max(recent[left.id], left.startedMs)
	}
	return recent
}

// reindexed returns the servers with byService computed anew and the generation incremented.
func (servers Servers) reindexed() Servers {
	servers.generation++
	servers.byService = map[string][]Server{}
	for _, server := range servers.byID {
		if servers.IsLeaving(server) {
			continue
		}
		servers.byService[server.Service] = append(servers.byService[server.Service], server)
	}
	for _, list := range servers.byService {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return servers
}
