package directory

import (
	"maps"
	"slices"
	"strings"
)

// Delta is the difference between two lists of servers, each ordered by id.
type Delta struct {
	// Changed are the servers that are new or differ, and Removed the ids of those that are gone.
	Changed []Server
	Removed []string
}

// NewDelta returns the difference between two lists.
func NewDelta(from, to []Server) Delta {
	previous := make(map[string]Server, len(from))
	for _, server := range from {
		previous[server.ID] = server
	}
	var delta Delta
	for _, server := range to {
		if last, found := previous[server.ID]; !found || last != server {
			delta.Changed = append(delta.Changed, server)
		}
		delete(previous, server.ID)
	}
	delta.Removed = slices.Sorted(maps.Keys(previous))
	return delta
}

// Size returns the number of servers in which the lists differ.
func (delta Delta) Size() int { return len(delta.Changed) + len(delta.Removed) }

// Applied returns the list that results from the delta, ordered by id.
func (delta Delta) Applied(from []Server) []Server {
	byID := make(map[string]Server, len(from)+len(delta.Changed))
	for _, server := range from {
		byID[server.ID] = server
	}
	for _, id := range delta.Removed {
		delete(byID, id)
	}
	for _, server := range delta.Changed {
		byID[server.ID] = server
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
}

// WithRetained returns the list with those servers of an earlier one that it lacks, ordered by id.
func WithRetained(servers, earlier []Server) []Server {
	retained := slices.Clone(servers)
	for _, server := range earlier {
		if _, listed := slices.BinarySearchFunc(servers, server, func(a, b Server) int { return strings.Compare(a.ID, b.ID) }); !listed {
			retained = append(retained, server)
		}
	}
	slices.SortFunc(retained, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return retained
}
