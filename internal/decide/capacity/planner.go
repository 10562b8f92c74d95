package capacity

import (
	"maps"
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

const (
	// utilisation is the part of a server's time that processing prompts may take.
	utilisation = 0.6
	// peakHold is the time for which the highest demand determines the need.
	peakHold = time.Minute
	// discoveryTime is the time after the start of the leader's entry in which it may not know all running servers, so
	// that no order is placed: servers that start together with the entries register over some seconds, and an order for
	// fewer would release those that are not known yet.
	discoveryTime = 4 * time.Second
	// initialNeedShare is the part of the on-demand servers found at the start that counts as the need. The rest is the
	// reserve with which their number was set, and a plan adds a reserve of its own.
	initialNeedShare = 0.65
	// learningTime is the time for which demand must have been measured before servers may be released.
	learningTime = 8 * time.Second
	// refusedRetryDelay is the time after which a refused order is retried.
	refusedRetryDelay = 2 * time.Second
	// reclaimableSurplusTime is the time since the last order, or since the first call of
	// [Planner.WithInput], during which reclaimable servers are not released. They cost little, and a release
	// loses what they have cached: the others then read most prompts again, at the same load.
	reclaimableSurplusTime = 90 * time.Second
	// onDemandSurplusTime is the time for which there must be more on-demand servers than
	// needed before they are released.
	onDemandSurplusTime = 1500 * time.Millisecond
	// startMargin is the time in addition to a server's boot time after which an unfulfilled order is repeated.
	startMargin = 3 * time.Second
)

// Input is the data on which the orders for one service are decided.
type Input struct {
	Service route.Service
	Domains []string
	// Servers lists the servers that accept requests.
	Servers []directory.Server
	// Demand is the number of prompt tokens per second that servers have to process.
	Demand float64
	// PrefillRate is the number of prompt tokens per second that one server processes, above 0.
	PrefillRate float64
	// Now is the current time, on the same clock as in earlier calls.
	Now time.Duration
	// KnownSince is the time since which the entry has been learning of the servers and the demand.
	KnownSince time.Duration
}

// Planner decides on the orders for one service.
type Planner struct {
	// firstAt is the time of the first call of WithInput.
	firstAt time.Duration
	// peakDemand is the highest recent demand, in prompt tokens per second, observed at peakAt.
	peakDemand float64
	peakAt     time.Duration
	// demandSince is the time at which demand was first above 0.
	demandSince time.Duration
	// initialNeed is the need, in servers, that the servers running at the first calls
	// were presumably ordered for. It is the lower limit of the need until demand has
	// been measured for learningTime, in particular at a new leader.
	initialNeed int
	// surplusSince is the time since which there have been more on-demand servers than needed, 0 if there are not.
	surplusSince time.Duration
	lastOrders   map[target]lastOrder
}

// target identifies the servers that one order applies to.
type target struct {
	domain      string
	reclaimable bool
}

// lastOrder is the last order for a target.
type lastOrder struct {
	count    int
	placedAt time.Duration
	// refused reports that the provider did not accept the order.
	refused bool
	// present is the number of the target's servers at the last call; shrunk reports that
	// servers have disappeared since the order.
	present int
	shrunk  bool
}

// WithInput returns the planner after the given input, and the orders to place.
func (planner Planner) WithInput(input Input) (Planner, []Order) {
	planner = planner.withDemand(input).withLosses(input)
	if input.Now-input.KnownSince < discoveryTime {
		return planner, nil
	}
	plan := planner.plan(input)
	planner = planner.withSurplus(input, plan)
	var orders []Order
	for _, domain := range input.Domains {
		orders = planner.appendOrder(orders, input, target{domain, true}, plan.Reclaimable[domain])
	}
	for _, domain := range input.Domains {
		orders = planner.appendOrder(orders, input, target{domain, false}, plan.OnDemand[domain])
	}
	return planner, orders
}

// WithOrder returns the planner after an order was placed and accepted or refused.
func (planner Planner) WithOrder(order Order, accepted bool, now time.Duration) Planner {
	lastOrders := maps.Clone(planner.lastOrders)
	if lastOrders == nil {
		lastOrders = map[target]lastOrder{}
	}
	lastOrders[target{order.Domain, order.Reclaimable}] = lastOrder{count: order.Count, placedAt: now, refused: !accepted}
	planner.lastOrders = lastOrders
	return planner
}

// withDemand returns the planner with the demand of the input recorded.
func (planner Planner) withDemand(input Input) Planner {
	if planner.firstAt == 0 {
		planner.firstAt = input.Now
	}
	if planner.demandSince == 0 || input.Now-input.KnownSince < discoveryTime {
		planner.initialNeed = max(planner.initialNeed, impliedNeed(input))
	}
	if input.Demand > 0 && planner.demandSince == 0 {
		planner.demandSince = input.Now
	}
	if input.Demand >= planner.peakDemand || input.Now-planner.peakAt > peakHold {
		planner.peakDemand, planner.peakAt = input.Demand, input.Now
	}
	return planner
}

// withLosses returns the planner with the targets marked that have fewer servers than at the last call.
func (planner Planner) withLosses(input Input) Planner {
	lastOrders := make(map[target]lastOrder, len(planner.lastOrders))
	for target, previous := range planner.lastOrders {
		present := countPresent(input.Servers, target)
		previous.shrunk = previous.shrunk || present < previous.present
		previous.present = present
		lastOrders[target] = previous
	}
	planner.lastOrders = lastOrders
	return planner
}

// withSurplus returns the planner with the time since which the plan has had fewer on-demand servers than there are.
func (planner Planner) withSurplus(input Input, plan Plan) Planner {
	surplus := false
	for _, domain := range input.Domains {
		surplus = surplus || plan.OnDemand[domain] < countPresent(input.Servers, target{domain, false})
	}
	switch {
	case !surplus:
		planner.surplusSince = 0
	case planner.surplusSince == 0:
		planner.surplusSince = input.Now
	}
	return planner
}

// plan returns the number of servers to have.
func (planner Planner) plan(input Input) Plan {
	need := planner.Need(input)
	present := map[string]int{}
	for _, domain := range input.Domains {
		present[domain] = countPresent(input.Servers, target{domain, true})
	}
	return NewPlan(input.Service.Scaling, input.Domains, need, present, planner.shortage(input))
}

// Need returns the number of servers that the highest recent demand needs. Until demand has been measured for
// learningTime, it is at least initialNeed.
func (planner Planner) Need(input Input) float64 {
	need := planner.peakDemand / (input.PrefillRate * utilisation)
	if planner.demandSince == 0 || input.Now-max(planner.demandSince, planner.firstAt) < learningTime {
		need = max(need, float64(planner.initialNeed))
	}
	return need
}

// shortage reports whether an order for reclaimable servers was refused in some failure
// domain, as happens after a reclaim.
func (planner Planner) shortage(input Input) bool {
	for _, domain := range input.Domains {
		if planner.lastOrders[target{domain, true}].refused {
			return true
		}
	}
	return false
}

// appendOrder appends the order that changes the number of a target's servers to count,
// unless that order has already been placed or must wait.
func (planner Planner) appendOrder(orders []Order, input Input, target target, count int) []Order {
	previous, hasOrder := planner.lastOrders[target]
	present := countPresent(input.Servers, target)
	if !hasOrder {
		previous.count = present
	}
	sinceOrder := input.Now - previous.placedAt
	replaces := target.reclaimable && (previous.refused || previous.shrunk)
	if replaces {
		count = max(count, present) // It replaces servers that are missing, and must not release others.
	}
	switch {
	case hasOrder && previous.refused && sinceOrder < refusedRetryDelay:
		return orders
	case count == previous.count && !previous.refused && !previous.shrunk && (!hasOrder || present >= count || sinceOrder < input.Service.Scaling.BootTime+startMargin):
		return orders
	case count < previous.count && target.reclaimable && !replaces && input.Now-max(previous.placedAt, planner.firstAt) < reclaimableSurplusTime:
		return orders
	case count < previous.count && !target.reclaimable && (planner.surplusSince == 0 || input.Now-planner.surplusSince < onDemandSurplusTime):
		return orders
	}
	return append(orders, Order{Service: input.Service.Name, Domain: target.domain, Count: count, Reclaimable: target.reclaimable})
}

// impliedNeed returns the need, in servers, for which the planner would have ordered the present servers.
func impliedNeed(input Input) int {
	onDemand, reclaimable := 0, 0
	for _, domain := range input.Domains {
		onDemand += countPresent(input.Servers, target{domain, false})
		reclaimable += countPresent(input.Servers, target{domain, true})
	}
	domains := float64(len(input.Domains))
	if domains < 2 {
		return max(int(math.Ceil(initialNeedShare*float64(onDemand))), reclaimable)
	}
	return max(int(math.Ceil(initialNeedShare*float64(onDemand))), int(float64(reclaimable)*(domains-1)/domains/reclaimableShare))
}

// CountPresent returns the number of servers that an order applies to.
func CountPresent(servers []directory.Server, order Order) int {
	return countPresent(servers, target{order.Domain, order.Reclaimable})
}

func countPresent(servers []directory.Server, target target) int {
	count := 0
	for _, server := range servers {
		if server.Domain == target.domain && server.Reclaimable == target.reclaimable {
			count++
		}
	}
	return count
}
