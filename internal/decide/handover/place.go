package handover

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// Successors returns up to n entries that are to hold the state of a request, the first choice first.
//
// They are the live entries other than self in rendezvous order of the request
// id; those in the leaving entry's failure domain come last, since a reclaim
// mostly takes all of it.
func Successors(view membership.View, self, domain, id string, n int) []membership.Member {
	var far, near []membership.Member
	for _, member := range membership.Successors(view, shard(id), len(view.Live())) {
		switch {
		case member.Name == self:
		case member.Domain == domain:
			near = append(near, member)
		default:
			far = append(far, member)
		}
	}
	ordered := append(far, near...)
	return ordered[:min(n, len(ordered))]
}

// PossibleHolders returns the entries that may hold the state of a repeated request, the likeliest first.
//
// There are none while no entry leaves. For each failure domain with a leaving
// entry they are up to n of that entry's successors.
func PossibleHolders(view membership.View, id string, n int) []membership.Member {
	domains := map[string]bool{}
	for _, member := range view.All() {
		if member.Status() == membership.StatusLeaving {
			domains[member.Domain] = true
		}
	}
	if len(domains) == 0 {
		return nil
	}
	ordered := membership.Successors(view, shard(id), len(view.Live()))
	asked := map[string]bool{}
	for domain := range domains {
		for _, member := range Successors(view, "", domain, id, n) {
			asked[member.Name] = true
		}
	}
	var places []membership.Member
	for _, member := range ordered {
		if asked[member.Name] {
			places = append(places, member)
		}
	}
	return places
}

func shard(id string) int { return int(xxhash.Sum64String(id)) }
