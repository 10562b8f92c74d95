package capacity

import (
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

const (
	// utilisation is the part of a server's time that reading prompts may take.
	utilisation = 0.6
	// defaultPrefillRate is the number of prompt tokens that a server reads in a second, until it is learned.
	defaultPrefillRate = 30000.0
	// peakHold is how long the highest demand is provided for.
	peakHold = time.Minute
	// discoveryTime is the time after the first look in which servers make themselves known.
	discoveryTime = 2 * time.Second
	// learningTime is the time with demand after which servers may be given up.
	learningTime = 8 * time.Second
	// refusedRetryDelay is the time after which a refused order is made again.
	refusedRetryDelay = 2 * time.Second
	// reclaimableSurplusTime is how long reclaimable servers must have been more than needed before they are given up.
	reclaimableSurplusTime = 30 * time.Second
	// onDemandSurplusTime is how long fixed servers must have been more than needed before they are given up.
	onDemandSurplusTime = 1500 * time.Millisecond
	// startMargin is the time beyond the start of a server after which its order is made again.
	startMargin = 3 * time.Second
)

// Situation is what the orders for one service are decided on.
type Situation struct {
	Service route.Service
	Domains []string
	// Servers are the servers that take work.
	Servers []directory.Server
	// Demand is the number of prompt tokens a second that servers have to read.
	Demand float64
	// Rate is the number of prompt tokens that a server reads in a second, 0 if not known.
	Rate float64
	Now  time.Duration
}

// Planner decides on the orders for one service.
type Planner struct {
	// firstAt is when the planner first looked.
	firstAt time.Duration
	// peak is the highest demand lately, at peakAt.
	peak   float64
	peakAt time.Duration
	// demandSince is when demand was first seen.
	demandSince time.Duration
	// initialNeed is the need that the servers at the first looks were meant for. It stands
	// for the need until the demand is known, also for a new holder of the duty.
	initialNeed int
	// surplusSince is since when there are more fixed servers than are needed, 0 for never.
	surplusSince time.Duration
	ordered      map[target]lastOrder
}

// target is what one order is about.
type target struct {
	domain      string
	reclaimable bool
}

// lastOrder is the last order for a target.
type lastOrder struct {
	count int
	at    time.Duration
	// refused reports that the order was not accepted.
	refused bool
	// present is the number of servers at the last look, and lost reports that some went away since the order.
	present int
	shrunk  bool
}

// WithSituation returns the planner after a look at the situation, and the orders to make.
func (planner Planner) WithSituation(situation Situation) (Planner, []Order) {
	planner = planner.withDemand(situation).withLosses(situation)
	if situation.Now-planner.firstAt < discoveryTime {
		return planner, nil
	}
	plan := planner.plan(situation)
	planner = planner.withSurplus(situation, plan)
	var orders []Order
	for _, domain := range situation.Domains {
		orders = planner.appendOrder(orders, situation, target{domain, true}, plan.Reclaimable[domain])
	}
	for _, domain := range situation.Domains {
		orders = planner.appendOrder(orders, situation, target{domain, false}, plan.OnDemand[domain])
	}
	return planner, orders
}

// WithOrder returns the planner after an order was made.
func (planner Planner) WithOrder(order Order, accepted bool, now time.Duration) Planner {
	ordered := maps.Clone(planner.ordered)
	if ordered == nil {
		ordered = map[target]lastOrder{}
	}
	ordered[target{order.Domain, order.Reclaimable}] = lastOrder{count: order.Count, at: now, refused: !accepted}
	planner.ordered = ordered
	return planner
}

func (planner Planner) withDemand(situation Situation) Planner {
	if planner.firstAt == 0 {
		planner.firstAt = situation.Now
	}
	if planner.demandSince == 0 || situation.Now-planner.firstAt < discoveryTime {
		planner.initialNeed = max(planner.initialNeed, impliedNeed(situation))
	}
	if situation.Demand > 0 && planner.demandSince == 0 {
		planner.demandSince = situation.Now
	}
	if situation.Demand >= planner.peak || situation.Now-planner.peakAt > peakHold {
		planner.peak, planner.peakAt = situation.Demand, situation.Now
	}
	return planner
}

// withLosses notes which targets have fewer servers than at the last look.
func (planner Planner) withLosses(situation Situation) Planner {
	ordered := make(map[target]lastOrder, len(planner.ordered))
	for target, last := range planner.ordered {
		present := countPresent(situation.Servers, target)
		last.shrunk = last.shrunk || present < last.present
		last.present = present
		ordered[target] = last
	}
	planner.ordered = ordered
	return planner
}

// withSurplus notes since when the plan has fewer fixed servers than there are.
func (planner Planner) withSurplus(situation Situation, plan Plan) Planner {
	surplus := false
	for _, domain := range situation.Domains {
		surplus = surplus || plan.OnDemand[domain] < countPresent(situation.Servers, target{domain, false})
	}
	switch {
	case !surplus:
		planner.surplusSince = 0
	case planner.surplusSince == 0:
		planner.surplusSince = situation.Now
	}
	return planner
}

// plan returns the servers to have. Before the demand is known, there are as many as there were.
func (planner Planner) plan(situation Situation) Plan {
	rate := situation.Rate
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	need := planner.peak / (rate * utilisation)
	if planner.demandSince == 0 || situation.Now-max(planner.demandSince, planner.firstAt) < learningTime {
		need = max(need, float64(planner.initialNeed))
	}
	present := map[string]int{}
	for _, domain := range situation.Domains {
		present[domain] = countPresent(situation.Servers, target{domain, true})
	}
	return NewPlan(situation.Service.Scaling, situation.Domains, need, present, planner.shortage(situation))
}

// shortage reports that reclaimable servers are not to be had in some failure domain, as after a reclaim.
func (planner Planner) shortage(situation Situation) bool {
	for _, domain := range situation.Domains {
		if planner.ordered[target{domain, true}].refused {
			return true
		}
	}
	return false
}

// appendOrder adds the order that brings a target to a count, unless it was made or is no use yet.
func (planner Planner) appendOrder(orders []Order, situation Situation, target target, count int) []Order {
	last, made := planner.ordered[target]
	present := countPresent(situation.Servers, target)
	if !made {
		last.count = present
	}
	since := situation.Now - last.at
	switch {
	case made && last.refused && since < refusedRetryDelay:
		return orders
	case count == last.count && !last.refused && !last.shrunk && (!made || present >= count || since < situation.Service.Scaling.Boot+startMargin):
		return orders
	case count < last.count && target.reclaimable && situation.Now-max(last.at, planner.firstAt) < reclaimableSurplusTime:
		return orders
	case count < last.count && !target.reclaimable && (planner.surplusSince == 0 || situation.Now-planner.surplusSince < onDemandSurplusTime):
		return orders
	}
	return append(orders, Order{Service: situation.Service.Name, Domain: target.domain, Count: count, Reclaimable: target.reclaimable})
}

// impliedNeed returns the need, in servers, that the present servers would be ordered for.
func impliedNeed(situation Situation) int {
	fixed, reclaimable := 0, 0
	for _, domain := range situation.Domains {
		fixed += countPresent(situation.Servers, target{domain, false})
		reclaimable += countPresent(situation.Servers, target{domain, true})
	}
	domains := float64(len(situation.Domains))
	if domains < 2 {
		return max(fixed, reclaimable)
	}
	return max(fixed, int(float64(reclaimable)*(domains-1)/domains/reclaimableShare))
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
