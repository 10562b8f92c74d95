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
	// StartedMs is when the incarnation started, in milliseconds since 1970, 0 if it does not say.
	StartedMs int64
	// Reclaimable servers cost less, and their failure domain's may be taken back at once.
	Reclaimable bool
}

const (
	// outageGap is the time without a reading from which the store counts as having been away.
	outageGap = 1500 * time.Millisecond
	// returnGrace is the time after the store's return in which entries that
	// lapsed meanwhile come back.
	returnGrace = 2 * time.Second
	// keptTime is how long a departure is kept after the server's entry is gone.
	keptTime = time.Minute
)

// Servers are the backend servers that may take work.
type Servers struct {
	services map[string][]Server
	known    map[string]Server
	// left holds the incarnations that said that they leave, by server.
	left map[string]departure
	// generation rises with each change.
	generation uint64
	revision   int64
	newestAt   time.Duration
	// graceUntil is until when servers that are not listed are kept.
	graceUntil time.Duration
	// listed is the last listing, and kept tells that others are kept beside it.
	listed []Server
	kept   bool
}

// departure is an incarnation that leaves, and when that was learned.
type departure struct {
	born int64
	at   time.Duration
}

// Generation rises with each change of the servers.
func (servers Servers) Generation() uint64 { return servers.generation }

// Revision returns the store's revision of the newest listing.
func (servers Servers) Revision() int64 { return servers.revision }

// Of returns the servers of a service that may take work, which the caller must not change.
func (servers Servers) Of(service string) []Server { return servers.services[service] }

// All returns the known servers by their ids, leaving ones included.
func (servers Servers) All() map[string]Server { return servers.known }

// WithSnapshot returns the servers after a listing.
//
// Servers that are missing from the first listings after an outage of the store are
// kept for the time in which their entries come back.
func (servers Servers) WithSnapshot(reading Snapshot[[]Server]) Servers {
	if reading.Revision < servers.revision {
		return servers
	}
	if servers.revision > 0 && reading.CurrentAt-servers.newestAt > outageGap {
		servers.graceUntil = reading.CurrentAt + returnGrace
	}
	servers.revision = reading.Revision
	servers.newestAt = max(servers.newestAt, reading.CurrentAt)
	if !servers.kept && servers.known != nil && slices.Equal(servers.listed, reading.Value) {
		return servers
	}
	servers.listed, servers.kept = reading.Value, false
	known := make(map[string]Server, len(reading.Value))
	left := maps.Clone(servers.left)
	if left == nil {
		left = map[string]departure{}
	}
	for _, server := range reading.Value {
		if last, ok := left[server.ID]; server.State == StateLeaving && (!ok || last.born != server.StartedMs) {
			left[server.ID] = departure{server.StartedMs, reading.CurrentAt}
		}
		known[server.ID] = server
	}
	maps.DeleteFunc(left, func(id string, last departure) bool {
		_, listed := known[id]
		return !listed && reading.CurrentAt-last.at > keptTime
	})
	if reading.CurrentAt < servers.graceUntil {
		for id, server := range servers.known {
			if _, listed := known[id]; !listed {
				known[id], servers.kept = server, true
			}
		}
	}
	servers.known, servers.left = known, left
	return servers.indexed()
}

// WithLeaving returns the servers after it was learned that an incarnation of one leaves.
func (servers Servers) WithLeaving(id string, born int64, now time.Duration) Servers {
	if last, ok := servers.left[id]; ok && last.born == born {
		return servers
	}
	left := maps.Clone(servers.left)
	if left == nil {
		left = map[string]departure{}
	}
	left[id] = departure{born, now}
	servers.left = left
	return servers.indexed()
}

// LeavingSince returns the incarnations that were learned to leave since a time, by server.
func (servers Servers) LeavingSince(since time.Duration) map[string]int64 {
	var recent map[string]int64
	for id, last := range servers.left {
		if last.at < since {
			continue
		}
		if recent == nil {
			recent = map[string]int64{}
		}
		recent[id] = last.born
	}
	return recent
}

func (servers Servers) indexed() Servers {
	servers.generation++
	servers.services = map[string][]Server{}
	for id, server := range servers.known {
		last, left := servers.left[id]
		if left && last.born == server.StartedMs {
			continue
		}
		servers.services[server.Service] = append(servers.services[server.Service], server)
	}
	for _, found := range servers.services {
		slices.SortFunc(found, func(one, other Server) int { return cmp.Compare(one.ID, other.ID) })
	}
	return servers
}
