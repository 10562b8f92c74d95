package handover

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/vm"
)

// Successors returns up to n entries that are to hold the state of a request, the first choice first.
//
// They are the live entries other than self in rendezvous order of the request
// id; those in the leaving entry's failure domain come last, since a reclaim
// mostly takes all of it.
func Successors(view vm.View, self, domain, id string, n int) []vm.Member {
	var far, near []vm.Member
	for _, member := range vm.Successors(view, hashID(id), len(view.Live())) {
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

// Places returns the entries that may hold the state of a repeated request, the likeliest first.
//
// There are none while no entry leaves. For each failure domain with a leaving
// entry they are up to n of that entry's successors.
func Places(view vm.View, id string, n int) []vm.Member {
	domains := map[string]bool{}
	for _, member := range view.All() {
		if member.Status() == vm.StatusLeaving {
			domains[member.Domain] = true
		}
	}
	if len(domains) == 0 {
		return nil
	}
	ordered := vm.Successors(view, hashID(id), len(view.Live()))
	asked := map[string]bool{}
	for domain := range domains {
		for _, member := range Successors(view, "", domain, id, n) {
			asked[member.Name] = true
		}
	}
	var places []vm.Member
	for _, member := range ordered {
		if asked[member.Name] {
			places = append(places, member)
		}
	}
	return places
}

func hashID(id string) int { return int(xxhash.Sum64String(id)) }
