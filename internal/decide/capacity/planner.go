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
	// usualRate is the number of prompt tokens that a server reads in a second, until it is learned.
	usualRate = 30000.0
	// peakTime is how long the highest demand is provided for.
	peakTime = time.Minute
	// settleTime is the time after the first look in which servers make themselves known.
	settleTime = 2 * time.Second
	// learnTime is the time with demand after which servers may be given up.
	learnTime = 8 * time.Second
	// refusalTime is the time after which a refused order is made again.
	refusalTime = 2 * time.Second
	// reserveTime is how long reclaimable servers must have been more than needed before they are given up.
	reserveTime = 30 * time.Second
	// surplusTime is how long fixed servers must have been more than needed before they are given up.
	surplusTime = 1500 * time.Millisecond
	// missingTime is the time beyond the start of a server after which its order is made again.
	missingTime = 3 * time.Second
)

// Input is what the orders for one service are decided on.
type Input struct {
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
	// since is when demand was first seen.
	since time.Duration
	// initial is the need that the servers at the first looks were meant for. It stands
	// for the need until the demand is known, also for a new holder of the duty.
	initial int
	// surplusAt is since when there are more fixed servers than are needed, 0 for never.
	surplusAt time.Duration
	ordered   map[target]placed
}

// target is what one order is about.
type target struct {
	domain      string
	reclaimable bool
}

// placed is the last order for a target.
type placed struct {
	count int
	at    time.Duration
	// refused reports that the order was not accepted.
	refused bool
	// seen is the number of servers at the last look, and lost reports that some went away since the order.
	seen int
	lost bool
}

// WithInput returns the planner after a look at the situation, and the orders to make.
func (planner Planner) WithInput(situation Input) (Planner, []Order) {
	planner = planner.withDemand(situation).withLosses(situation)
	if situation.Now-planner.firstAt < settleTime {
		return planner, nil
	}
	plan := planner.plan(situation)
	planner = planner.withSurplus(situation, plan)
	var orders []Order
	for _, domain := range situation.Domains {
		orders = planner.appendOrder(orders, situation, target{domain, true}, plan.Reclaimable[domain])
	}
	for _, domain := range situation.Domains {
		orders = planner.appendOrder(orders, situation, target{domain, false}, plan.Fixed[domain])
	}
	return planner, orders
}

// WithOrder returns the planner after an order was made.
func (planner Planner) WithOrder(order Order, accepted bool, now time.Duration) Planner {
	ordered := maps.Clone(planner.ordered)
	if ordered == nil {
		ordered = map[target]placed{}
	}
	ordered[target{order.Domain, order.Reclaimable}] = placed{count: order.Count, at: now, refused: !accepted}
	planner.ordered = ordered
	return planner
}

func (planner Planner) withDemand(situation Input) Planner {
	if planner.firstAt == 0 {
		planner.firstAt = situation.Now
	}
	if planner.since == 0 || situation.Now-planner.firstAt < settleTime {
		planner.initial = max(planner.initial, providedFor(situation))
	}
	if situation.Demand > 0 && planner.since == 0 {
		planner.since = situation.Now
	}
	if situation.Demand >= planner.peak || situation.Now-planner.peakAt > peakTime {
		planner.peak, planner.peakAt = situation.Demand, situation.Now
	}
	return planner
}

// withLosses notes which targets have fewer servers than at the last look.
func (planner Planner) withLosses(situation Input) Planner {
	ordered := make(map[target]placed, len(planner.ordered))
	for target, last := range planner.ordered {
		present := presentOf(situation.Servers, target)
		last.lost = last.lost || present < last.seen
		last.seen = present
		ordered[target] = last
	}
	planner.ordered = ordered
	return planner
}

// withSurplus notes since when the plan has fewer fixed servers than there are.
func (planner Planner) withSurplus(situation Input, plan Plan) Planner {
	surplus := false
	for _, domain := range situation.Domains {
		surplus = surplus || plan.Fixed[domain] < presentOf(situation.Servers, target{domain, false})
	}
	switch {
	case !surplus:
		planner.surplusAt = 0
	case planner.surplusAt == 0:
		planner.surplusAt = situation.Now
	}
	return planner
}

// plan returns the servers to have. Before the demand is known, there are as many as there were.
func (planner Planner) plan(situation Input) Plan {
	rate := situation.Rate
	if rate <= 0 {
		rate = usualRate
	}
	need := planner.peak / (rate * utilisation)
	if planner.since == 0 || situation.Now-max(planner.since, planner.firstAt) < learnTime {
		need = max(need, float64(planner.initial))
	}
	present := map[string]int{}
	for _, domain := range situation.Domains {
		present[domain] = presentOf(situation.Servers, target{domain, true})
	}
	return NewPlan(situation.Service.Scaling, situation.Domains, need, present, planner.wave(situation))
}

// wave reports that reclaimable servers are not to be had in some failure domain, as after a reclaim.
func (planner Planner) wave(situation Input) bool {
	for _, domain := range situation.Domains {
		if planner.ordered[target{domain, true}].refused {
			return true
		}
	}
	return false
}

// appendOrder adds the order that brings a target to a count, unless it was made or is no use yet.
func (planner Planner) appendOrder(orders []Order, situation Input, target target, count int) []Order {
	last, made := planner.ordered[target]
	present := presentOf(situation.Servers, target)
	if !made {
		last.count = present
	}
	since := situation.Now - last.at
	switch {
	case made && last.refused && since < refusalTime:
		return orders
	case count == last.count && !last.refused && !last.lost && (!made || present >= count || since < situation.Service.Scaling.BootTime+missingTime):
		return orders
	case count < last.count && target.reclaimable && situation.Now-max(last.at, planner.firstAt) < reserveTime:
		return orders
	case count < last.count && !target.reclaimable && (planner.surplusAt == 0 || situation.Now-planner.surplusAt < surplusTime):
		return orders
	}
	return append(orders, Order{Service: situation.Service.Name, Domain: target.domain, Count: count, Reclaimable: target.reclaimable})
}

// providedFor returns the need, in servers, that the present servers would be ordered for.
func providedFor(situation Input) int {
	fixed, reclaimable := 0, 0
	for _, domain := range situation.Domains {
		fixed += presentOf(situation.Servers, target{domain, false})
		reclaimable += presentOf(situation.Servers, target{domain, true})
	}
	domains := float64(len(situation.Domains))
	if domains < 2 {
		return max(fixed, reclaimable)
	}
	return max(fixed, int(float64(reclaimable)*(domains-1)/domains/reclaimableShare))
}

func presentOf(servers []directory.Server, target target) int {
	count := 0
	for _, server := range servers {
		if server.Domain == target.domain && server.Reclaimable == target.reclaimable {
			count++
		}
	}
	return count
}
