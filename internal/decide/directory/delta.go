package directory

import (
	"slices"
	"strings"
)

// Delta is the difference between two lists of servers, each ordered by id. It is computed and applied in one pass over the
// ordered lists, since an aggregator of a large fleet does so for each peer and each change.
type Delta struct {
	// Changed are the servers that are new or differ, and Removed the ids of those that are gone, both ordered by id.
	Changed []Server
	Removed []string
}

// NewDelta returns the difference between two lists.
func NewDelta(from, to []Server) Delta {
	var delta Delta
	for len(from) > 0 && len(to) > 0 {
		switch order := strings.Compare(from[0].ID, to[0].ID); {
		case order < 0:
			delta.Removed = append(delta.Removed, from[0].ID)
			from = from[1:]
		case order > 0:
			delta.Changed = append(delta.Changed, to[0])
			to = to[1:]
		default:
			if from[0] != to[0] {
				delta.Changed = append(delta.Changed, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	for _, server := range from {
		delta.Removed = append(delta.Removed, server.ID)
	}
	delta.Changed = append(delta.Changed, to...)
	return delta
}

// Size returns the number of servers in which the lists differ.
func (delta Delta) Size() int { return len(delta.Changed) + len(delta.Removed) }

// Applied returns the list that results from the delta, ordered by id.
func (delta Delta) Applied(from []Server) []Server {
	changed, removed := delta.Changed, delta.Removed
	next := slices.Grow([]Server(nil), len(from)+len(changed))
	for _, server := range from {
		for len(changed) > 0 && changed[0].ID < server.ID {
			next = append(next, changed[0])
			changed = changed[1:]
		}
		switch {
		case len(changed) > 0 && changed[0].ID == server.ID:
			next = append(next, changed[0])
			changed = changed[1:]
		case len(removed) > 0 && removed[0] == server.ID:
			removed = removed[1:]
		default:
			next = append(next, server)
		}
	}
	next = append(next, changed...)
	if len(next) == 0 {
		return nil
	}
	return next
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
