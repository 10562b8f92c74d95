package capacity

import (
	"cmp"
	"maps"
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
	// usualLosses and shortageLosses are the numbers of failure domains whose reclaimable servers the plan expects to
	// lose before ordered on-demand servers have started. Reclaims of further failure domains often follow one after
	// which no reclaimable servers are available.
	usualLosses    = 1
	shortageLosses = 2
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
// During a shortage of reclaimable servers, lost ones cannot be replaced by others, so the
// servers cover all of the need after the loss of two more failure domains.
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
	presentTotal := 0
	for _, count := range present {
		presentTotal += count
	}
	survivors, losses := int(math.Ceil(float64(neededServers)*survivingShare)), usualLosses
	if shortage {
		survivors, losses = neededServers, shortageLosses
	}
	remaining := presentTotal - largestSum(present, losses)
	plan.spread(domainsByPrice, max(onDemand, neededServers-presentTotal, survivors-remaining), scaling.MaxServers)
	for _, domain := range domainsByPrice {
		plan.Reclaimable[domain] = max(0, min(perDomain, scaling.MaxServers-plan.OnDemand[domain]))
		if missing := scaling.MinServers - plan.OnDemand[domain] - plan.Reclaimable[domain]; missing > 0 {
			plan.OnDemand[domain] += missing
		}
	}
	return plan
}

// largestSum returns the sum of the largest counts.
func largestSum(counts map[string]int, number int) int {
	sorted := slices.Sorted(maps.Values(counts))
	sum := 0
	for _, count := range sorted[max(0, len(sorted)-number):] {
		sum += count
	}
	return sum
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
