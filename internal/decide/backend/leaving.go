package backend

import (
	"maps"
	"time"
)

// Source says from where an entry learned that a server is leaving.
type Source string

// The sources of a departure.
const (
	SourceNotice Source = "ReclaimNotice"
	SourceList   Source = "VMList"
	SourcePeer   Source = "Peer"
)

// Departure is the newest known incarnation of a server and whether it is leaving.
type Departure struct {
	// Incarnation grows with each start of the server's VM, 0 while none is known.
	Incarnation uint64
	Leaving     bool
	// Source and At tell who said first that the incarnation leaves, and when.
	Source Source    `json:",omitempty"`
	At     time.Time `json:",omitzero"`
}

// Departures is which servers are leaving, by name.
//
// It is immutable, and the zero value holds none. For each server the highest
// incarnation counts, and within one incarnation leaving is final. News can
// therefore arrive in any order, late, and more than once.
type Departures map[string]Departure

// Has reports whether the server of that name is leaving.
func (departures Departures) Has(server string) bool {
	return departures[server].Leaving
}

// WithNotice returns the state after source said that an incarnation of a server is leaving.
//
// A notice that does not tell the incarnation (0) concerns the newest one known.
func (departures Departures) WithNotice(server string, incarnation uint64, source Source, at time.Time) Departures {
	if incarnation == 0 {
		incarnation = departures[server].Incarnation
	}
	return departures.Merge(Departures{server: {Incarnation: incarnation, Leaving: true, Source: source, At: at}})
}

// WithLive returns the state after a list showed an incarnation of a server as live.
//
// Only a newer incarnation than the one that is leaving brings the server back.
// A departure of an unknown incarnation is taken to be of the first one listed.
func (departures Departures) WithLive(server string, incarnation uint64) Departures {
	known := departures[server]
	if known.Leaving && known.Incarnation == 0 {
		known.Incarnation = incarnation
		return departures.Merge(Departures{server: known})
	}
	return departures.Merge(Departures{server: {Incarnation: incarnation}})
}

// Merge returns the state that holds the news of both; it is commutative, associative and idempotent.
//
// News about many servers is to be merged in one step, since each copies the state.
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

// supersedes orders departures totally, so that merging takes the greatest.
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
