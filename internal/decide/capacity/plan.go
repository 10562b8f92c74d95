package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

const (
	// fixedShare is the part of the need that servers carry which are not taken back,
	// while reclaimable ones are not to be had.
	fixedShare = 0.15
	// reclaimableShare is the reclaimable servers that are to be left after the loss of
	// a failure domain's, in relation to the need. They cost little, and for some time
	// after a loss there may be no others.
	reclaimableShare = 1.1
	// survivingShare is the part of the need that is to be left right after a reclaim.
	survivingShare = 0.65
	// leastServers is the least number of servers that a service has.
	leastServers = 2
)

// Plan is the number of servers of a service by kind and failure domain.
type Plan struct {
	// Fixed are the servers that are not taken back.
	Fixed map[string]int
	// Reclaimable are the servers that may be taken back, a failure domain's at once.
	Reclaimable map[string]int
}

// NewPlan returns reclaimable servers that carry the need, in servers, after the loss of
// those in one failure domain, and some fixed ones beside them.
//
// Present are the reclaimable servers that take work, by failure domain. Fixed ones
// take the place of those that are missing, and of those that the next reclaim would
// leave missing, because a server that is ordered then starts too late. During a wave of
// reclaims, the next one may follow before a fixed server has started, and all may go.
func NewPlan(scaling route.Scaling, domains []string, need float64, present map[string]int, wave bool) Plan {
	plan := Plan{Fixed: map[string]int{}, Reclaimable: map[string]int{}}
	order := cheapest(scaling, domains)
	if len(order) == 0 {
		return plan
	}
	total := max(leastServers, int(math.Ceil(need)))
	fixed := int(math.Ceil(need * fixedShare))
	each := 0
	if scaling.ReclaimablePrice > 0 && scaling.ReclaimablePrice < 1 {
		each = int(math.Ceil(float64(total) * reclaimableShare / float64(max(1, len(order)-1))))
	}
	each = min(each, scaling.MaxServers)
	all, largest := 0, 0
	for _, count := range present {
		all += count
		largest = max(largest, count)
	}
	survivors, left := int(math.Ceil(float64(total)*survivingShare)), all-largest
	if wave {
		survivors, left = total, 0
	}
	plan.spread(order, max(fixed, total-all, survivors-left), scaling.MaxServers)
	for _, domain := range order {
		plan.Reclaimable[domain] = max(0, min(each, scaling.MaxServers-plan.Fixed[domain]))
		if missing := scaling.MinServers - plan.Fixed[domain] - plan.Reclaimable[domain]; missing > 0 {
			plan.Fixed[domain] += missing
		}
	}
	return plan
}

// spread divides fixed servers over the failure domains in turn.
func (plan Plan) spread(order []string, fixed, most int) {
	for placed := 0; placed < min(fixed, most*len(order)); placed++ {
		plan.Fixed[order[placed%len(order)]]++
	}
}

// cheapest returns the failure domains by the price of a server.
func cheapest(scaling route.Scaling, domains []string) []string {
	order := slices.Clone(domains)
	slices.SortFunc(order, func(one, other string) int {
		return cmp.Or(cmp.Compare(scaling.DomainPrices[one], scaling.DomainPrices[other]), cmp.Compare(one, other))
	})
	return order
}
