package backend

import (
	"maps"
	"time"
)

// Source is where an entry learned that a server is leaving.
type Source string

// The sources of a departure.
const (
	SourceNotice Source = "ReclaimNotice"
	SourceList   Source = "VMList"
	SourcePeer   Source = "Peer"
)

// Departure is the latest known incarnation of a server and whether it is leaving.
type Departure struct {
	// Incarnation increases with each start of the server's VM, 0 if it is not known.
	Incarnation uint64
	Leaving     bool
	// Source and At are the source and time of the first report that the incarnation is leaving.
	Source Source    `json:",omitempty"`
	At     time.Time `json:",omitzero"`
}

// Departures holds for each server by name whether it is leaving.
//
// It is immutable, and the zero value is empty. For each server the highest incarnation
// counts, and within one incarnation leaving is final. Updates may therefore arrive in
// any order, late, and more than once.
type Departures map[string]Departure

// IsLeaving reports whether the server of that name is leaving.
func (departures Departures) IsLeaving(server string) bool {
	return departures[server].Leaving
}

// WithNotice returns the departures after source reported that an incarnation of a server is leaving.
//
// A notice with incarnation 0 does not specify it and applies to the latest known one.
func (departures Departures) WithNotice(server string, incarnation uint64, source Source, at time.Time) Departures {
	if incarnation == 0 {
		incarnation = departures[server].Incarnation
	}
	return departures.Merge(Departures{server: {Incarnation: incarnation, Leaving: true, Source: source, At: at}})
}

// WithLive returns the departures after a list included an incarnation of a server as live.
//
// A leaving server counts as live again only with a higher incarnation. A departure of
// an unknown incarnation is attributed to the first incarnation that is listed.
func (departures Departures) WithLive(server string, incarnation uint64) Departures {
	known := departures[server]
	if known.Leaving && known.Incarnation == 0 {
		known.Incarnation = incarnation
		return departures.Merge(Departures{server: known})
	}
	return departures.Merge(Departures{server: {Incarnation: incarnation}})
}

// Merge returns the union of both, with the superseding departure of each server; it is
// commutative, associative and idempotent.
//
// Each call copies the map, so updates about many servers should be merged in one call.
func (departures Departures) Merge(other Departures) Departures {
	next := maps.Clone(departures)
	if next == nil {
		next = Departures{}
	}
	for server, departure := range other {
		if known, ok := next[server]; !ok || departure.supersedes(known) {
			next[server] = departure
		}
	}
	return next
}

// supersedes reports whether departure replaces known in a merge. It is a total order.
func (departure Departure) supersedes(known Departure) bool {
	switch {
	case departure.Incarnation != known.Incarnation:
		return departure.Incarnation > known.Incarnation
	case departure.Leaving != known.Leaving:
		return departure.Leaving
	case !departure.At.Equal(known.At):
		return departure.At.Before(known.At)
	}
	return departure.Source < known.Source
}
