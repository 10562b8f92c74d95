package membership

import "slices"

// Random is a source of random numbers in [0, n).
type Random interface {
	IntN(n int) int
}

// RandomPeers returns up to n distinct random running entries other than self.
//
// An entry that is leaving still finishes what it accepted, so it needs the news.
// Fewer than half are in self's failure domain unless the others have too few
// entries: a domain that kept to itself would hand its news on late.
func RandomPeers(view View, self string, random Random, n int) []Member {
	me, _ := view.Member(self)
	order := slices.Clone(view.running)
	var chosen, near []Member
	for i := range order {
		if len(chosen) == n {
			break
		}
		j := i + random.IntN(len(order)-i)
		order[i], order[j] = order[j], order[i]
		peer, _ := view.Member(order[i])
		switch {
		case peer.Name == self:
		case peer.Domain == me.Domain && 2*(count(chosen, me.Domain)+1) >= n && n > 1:
			near = append(near, peer)
		default:
			chosen = append(chosen, peer)
		}
	}
	return append(chosen, near[:min(len(near), n-len(chosen))]...)
}

// RandomUnreachable returns a random entry that is suspected or gone but did not leave.
//
// Contact with such an entry from time to time is what ends a partition after
// which each side takes the other for gone.
func RandomUnreachable(view View, random Random) (Member, bool) {
	var lost []Member
	for _, member := range view.All() {
		if !member.Leaving && member.Condition != ConditionAlive {
			lost = append(lost, member)
		}
	}
	if len(lost) == 0 {
		return Member{}, false
	}
	return lost[random.IntN(len(lost))], true
}

func count(members []Member, domain string) int {
	total := 0
	for _, member := range members {
		if member.Domain == domain {
			total++
		}
	}
	return total
}
