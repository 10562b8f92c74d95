package membership

import "slices"

// Random is a source of random integers in [0, n).
type Random interface {
	IntN(n int) int
}

// RandomPeers returns up to n distinct random reachable entries other than self.
//
// Leaving entries are included: they still finish the requests that they accepted, for
// which they need updates. Fewer than half of the result are in self's failure domain
// unless the other domains have too few entries: a domain whose entries gossiped mainly
// among themselves would pass its updates on late.
func RandomPeers(view View, self string, random Random, n int) []Member {
	selfMember, _ := view.Member(self)
	order := slices.Clone(view.reachable)
	var chosen, sameDomain []Member
	for i := range order {
		if len(chosen) == n {
			break
		}
		j := i + random.IntN(len(order)-i)
		order[i], order[j] = order[j], order[i]
		peer, _ := view.Member(order[i])
		switch {
		case peer.Name == self:
		case peer.Domain == selfMember.Domain && 2*(countInDomain(chosen, selfMember.Domain)+1) >= n && n > 1:
			sameDomain = append(sameDomain, peer)
		default:
			chosen = append(chosen, peer)
		}
	}
	return append(chosen, sameDomain[:min(len(sameDomain), n-len(chosen))]...)
}

// RandomUnreachable returns a random entry that is suspected or gone but is not leaving, or false if there
// is none.
//
// After a partition, each side has marked the entries of the other side as gone. The two
// sides reconnect only because entries occasionally contact such an entry.
func RandomUnreachable(view View, random Random) (Member, bool) {
	var unreachable []Member
	for _, member := range view.All() {
		if !member.Leaving && member.Condition != ConditionAlive {
			unreachable = append(unreachable, member)
		}
	}
	if len(unreachable) == 0 {
		return Member{}, false
	}
	return unreachable[random.IntN(len(unreachable))], true
}

func countInDomain(members []Member, domain string) int {
	total := 0
	for _, member := range members {
		if member.Domain == domain {
			total++
		}
	}
	return total
}
