package handover

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// Successors returns up to n entries that should hold the state of a request, in order of preference.
//
// They are the live entries other than self in the rendezvous order of the request
// id. Entries in domain, the failure domain of the leaving entry, come last, because a
// reclaim usually affects the whole failure domain.
func Successors(view membership.View, self, domain, id string, n int) []membership.Member {
	var otherDomains, sameDomain []membership.Member
	for _, member := range membership.Successors(view, hashID(id), len(view.Live())) {
		switch {
		case member.Name == self:
		case member.Domain == domain:
			sameDomain = append(sameDomain, member)
		default:
			otherDomains = append(otherDomains, member)
		}
	}
	ordered := append(otherDomains, sameDomain...)
	return ordered[:min(n, len(ordered))]
}

// PossibleHolders returns the entries that may hold the state of a repeated request, the most likely first.
//
// There are none while no entry is leaving. For each failure domain with a leaving
// entry, the result includes up to n successors of such an entry.
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
	ordered := membership.Successors(view, hashID(id), len(view.Live()))
	candidates := map[string]bool{}
	for domain := range domains {
		for _, member := range Successors(view, "", domain, id, n) {
			candidates[member.Name] = true
		}
	}
	var holders []membership.Member
	for _, member := range ordered {
		if candidates[member.Name] {
			holders = append(holders, member)
		}
	}
	return holders
}

func hashID(id string) int { return int(xxhash.Sum64String(id)) }
