package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State says whether a server takes new work.
type State string

// The states of a server.
const (
	StateReady   State = "Ready"
	StateLeaving State = "Leaving"
)

// Server is a backend server as it describes itself in the store.
type Server struct {
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Domain  string
	Slots   int
	State   State
	// Born is when the incarnation started, in milliseconds since 1970, 0 if it does not say.
	Born int64
	// Reclaimable servers cost less, and their failure domain's may be taken back at once.
	Reclaimable bool
}

const (
	// outageGap is the time without a reading from which the store counts as having been away.
	outageGap = 1500 * time.Millisecond
	// returnGrace is the time after the store's return in which entries that
	// lapsed meanwhile come back.
	returnGrace = 2 * time.Second
)

// Servers are the backend servers that may take work.
type Servers struct {
	services map[string][]Server
	known    map[string]Server
	// left holds the incarnations that said that they leave, by server.
	left     map[string]int64
	revision int64
	newestAt time.Duration
	// graceUntil is until when servers that are not listed are kept.
	graceUntil time.Duration
}

// Revision returns the store's revision of the newest listing.
func (servers Servers) Revision() int64 { return servers.revision }

// Of returns the servers of a service that may take work, which the caller must not change.
func (servers Servers) Of(service string) []Server { return servers.services[service] }

// All returns the known servers by their ids, leaving ones included.
func (servers Servers) All() map[string]Server { return servers.known }

// WithReading returns the servers after a listing.
//
// Servers that are missing from the first listings after an outage of the store are
// kept for the time in which their entries come back.
func (servers Servers) WithReading(reading Reading[[]Server]) Servers {
	if reading.Revision < servers.revision {
		return servers
	}
	if servers.revision > 0 && reading.NewestAt-servers.newestAt > outageGap {
		servers.graceUntil = reading.NewestAt + returnGrace
	}
	known := make(map[string]Server, len(reading.Value))
	left := maps.Clone(servers.left)
	if left == nil {
		left = map[string]int64{}
	}
	for _, server := range reading.Value {
		if server.State == StateLeaving {
			left[server.ID] = server.Born
		}
		known[server.ID] = server
	}
	if reading.NewestAt < servers.graceUntil {
		for id, server := range servers.known {
			if _, listed := known[id]; !listed {
				known[id] = server
			}
		}
	}
	servers.known, servers.left = known, left
	servers.revision = reading.Revision
	servers.newestAt = max(servers.newestAt, reading.NewestAt)
	return servers.indexed()
}

// WithLeaving returns the servers after an incarnation of one said that it leaves.
func (servers Servers) WithLeaving(id string, born int64) Servers {
	if at, ok := servers.left[id]; ok && at == born {
		return servers
	}
	left := maps.Clone(servers.left)
	if left == nil {
		left = map[string]int64{}
	}
	left[id] = born
	servers.left = left
	return servers.indexed()
}

// Left returns the incarnations that are leaving, by server, which the caller must not change.
func (servers Servers) Left() map[string]int64 { return servers.left }

func (servers Servers) indexed() Servers {
	servers.services = map[string][]Server{}
	for id, server := range servers.known {
		born, left := servers.left[id]
		if left && born == server.Born {
			continue
		}
		servers.services[server.Service] = append(servers.services[server.Service], server)
	}
	for _, found := range servers.services {
		slices.SortFunc(found, func(one, other Server) int { return cmp.Compare(one.ID, other.ID) })
	}
	return servers
}
