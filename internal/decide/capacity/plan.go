package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

const (
	// onDemandShare is the part of the need that on-demand servers always cover, for the
	// time in which no reclaimable servers are available.
	onDemandShare = 0.15
	// reclaimableShare is the number of reclaimable servers, relative to the need, that
	// should remain after the loss of those in one failure domain. It is above 1 because
	// they cost little, and for some time after a loss no others may be available.
	reclaimableShare = 1.1
	// survivingShare is the part of the need that servers should still cover directly after a reclaim.
	survivingShare = 0.65
	// minServers is the minimum number of servers of a service.
	minServers = 2
)

// Plan is the number of servers that a service should have, by kind and failure domain.
type Plan struct {
	// OnDemand is the number of on-demand servers by failure domain.
	OnDemand map[string]int
	// Reclaimable is the number of reclaimable servers by failure domain.
	Reclaimable map[string]int
}

// NewPlan returns a plan whose reclaimable servers still cover the need, in servers,
// after the loss of those in one failure domain, plus some on-demand servers.
//
// Present is the number of reclaimable servers that accept requests, by failure domain;
// shortage reports that the provider refused an order for more of them.
// On-demand servers replace those that are missing and those that would be missing
// after the next reclaim, because a server ordered at that time would start too late.
// During a shortage of reclaimable servers, the next reclaim may come before an
// on-demand server has started, so the plan allows for the loss of all of them.
func NewPlan(scaling route.Scaling, domains []string, need float64, present map[string]int, shortage bool) Plan {
	plan := Plan{OnDemand: map[string]int{}, Reclaimable: map[string]int{}}
	domainsByPrice := byPrice(scaling, domains)
	if len(domainsByPrice) == 0 {
		return plan
	}
	neededServers := max(minServers, int(math.Ceil(need)))
	onDemand := int(math.Ceil(need * onDemandShare))
	perDomain := 0
	if scaling.ReclaimablePrice > 0 && scaling.ReclaimablePrice < 1 {
		perDomain = int(math.Ceil(float64(neededServers) * reclaimableShare / float64(max(1, len(domainsByPrice)-1))))
	}
	perDomain = min(perDomain, scaling.MaxServers)
	presentTotal, largestLoss := 0, 0
	for _, count := range present {
		presentTotal += count
		largestLoss = max(largestLoss, count)
	}
	survivors, remaining := int(math.Ceil(float64(neededServers)*survivingShare)), presentTotal-largestLoss
	if shortage {
		survivors, remaining = neededServers, 0
	}
	plan.spread(domainsByPrice, max(onDemand, neededServers-presentTotal, survivors-remaining), scaling.MaxServers)
	for _, domain := range domainsByPrice {
		plan.Reclaimable[domain] = max(0, min(perDomain, scaling.MaxServers-plan.OnDemand[domain]))
		if missing := scaling.MinServers - plan.OnDemand[domain] - plan.Reclaimable[domain]; missing > 0 {
			plan.OnDemand[domain] += missing
		}
	}
	return plan
}

// spread distributes on-demand servers over the failure domains in turn, at most maxPerDomain to each.
func (plan Plan) spread(domains []string, onDemand, maxPerDomain int) {
	for placed := 0; placed < min(onDemand, maxPerDomain*len(domains)); placed++ {
		plan.OnDemand[domains[placed%len(domains)]]++
	}
}

// byPrice returns the failure domains sorted by the price of a server, lowest first.
func byPrice(scaling route.Scaling, domains []string) []string {
	sorted := slices.Clone(domains)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(scaling.DomainPrices[a], scaling.DomainPrices[b]), cmp.Compare(a, b))
	})
	return sorted
}
