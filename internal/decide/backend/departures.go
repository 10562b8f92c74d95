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

// Departure is the latest known incarnation of a server and whether that incarnation is leaving.
type Departure struct {
	// Incarnation increases with each start of the server's VM; 0 means that it is not known.
	Incarnation uint64
	Leaving     bool
	// Source and At are the source and time of the first report that the incarnation is leaving.
	Source Source    `json:",omitempty"`
	At     time.Time `json:",omitzero"`
}

// Departures holds by server name whether the server is leaving.
//
// It is immutable, and the zero value is empty. For each server the highest incarnation
// counts, and within one incarnation leaving is final. Updates may therefore arrive in
// any order, late or repeatedly.
type Departures map[string]Departure

// IsLeaving reports whether the server of that name is leaving.
func (departures Departures) IsLeaving(server string) bool {
	return departures[server].Leaving
}

// WithNotice returns the departures after source reported that an incarnation of a server is leaving.
//
// A notice with incarnation 0 applies to the latest known incarnation.
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

// Merge returns the departures of both, and for a server in both the departure that
// supersedes the other. It is commutative, associative and idempotent.
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

// supersedes reports whether departure replaces known in a merge. Among different departures, it is a total
// order: the higher incarnation, then leaving, then the earlier report.
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
