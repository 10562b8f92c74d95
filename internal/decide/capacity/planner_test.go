package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/capacity"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

var domains = []string{"a", "b", "c"}

func scaling() route.Scaling {
	return route.Scaling{MinServers: 1, MaxServers: 8, BootTime: 4 * time.Second, ReclaimablePrice: 0.22, DomainPrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.2}}
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// Guards against a fleet that the loss of one failure domain's reclaimable servers leaves too small,
// and against more servers than may be ordered.
func TestPlanCarriesTheNeedAfterALoss(t *testing.T) {
	for need := 0.5; need < 20; need += 0.5 {
		plan := capacity.NewPlan(scaling(), domains, need, map[string]int{"a": 30, "b": 30, "c": 30}, false)
		for _, domain := range domains {
			both := plan.Fixed[domain] + plan.Reclaimable[domain]
			assert.LessOrEqual(t, both, 8, "need %v", need)
			assert.GreaterOrEqual(t, both, 1, "need %v", need)
			left := sum(plan.Fixed) + sum(plan.Reclaimable) - plan.Reclaimable[domain]
			assert.GreaterOrEqual(t, float64(left), min(need, 16), "need %v after the loss of %s", need, domain)
		}
	}
}

// Guards against a fleet that is too small while no reclaimable servers are to be had, or
// that the next reclaim leaves too small.
func TestFixedServersTakeThePlaceOfMissingOnes(t *testing.T) {
	cases := []struct {
		name    string
		present map[string]int
		wave    bool
		least   int
	}{
		{"none", nil, false, 9},
		{"few", map[string]int{"a": 2, "b": 2}, false, 5},
		{"all in one failure domain: 0.65 of the need must survive", map[string]int{"a": 12}, false, 6},
		{"enough in two", map[string]int{"a": 7, "b": 7}, false, 1},
		{"enough in two during a wave: all may go", map[string]int{"a": 7, "b": 7}, true, 9},
		{"many in three", map[string]int{"a": 7, "b": 7, "c": 7}, false, 1},
	}
	for _, c := range cases {
		fixed := sum(capacity.NewPlan(scaling(), domains, 9, c.present, c.wave).Fixed)
		assert.GreaterOrEqual(t, fixed, c.least, c.name)
		assert.LessOrEqual(t, fixed, c.least+1, c.name)
	}
	plan := capacity.NewPlan(scaling(), domains, 2, map[string]int{"a": 7, "b": 7, "c": 7}, false)
	assert.Equal(t, map[string]int{"b": 1}, plan.Fixed, "the cheapest failure domain comes first")
}

// world answers orders at once, as long as servers are to be had.
type world struct {
	planner capacity.Planner
	servers []directory.Server
	dry     bool
	now     time.Duration
	orders  int
}

func (world *world) look(demand float64) {
	situation := capacity.Input{
		Service: route.Service{Name: "engines", Scaling: scaling()}, Domains: domains, Servers: world.servers,
		Demand: demand, Rate: 25000, Now: world.now,
	}
	planner, orders := world.planner.WithInput(situation)
	for _, order := range orders {
		world.orders++
		accepted := !order.Reclaimable || !world.dry
		planner = planner.WithOrder(order, accepted, world.now)
		if accepted {
			world.fill(order)
		}
	}
	world.planner = planner
	world.now += 250 * time.Millisecond
}

func (world *world) fill(order capacity.Order) {
	var kept []directory.Server
	for _, server := range world.servers {
		if server.Domain != order.Domain || server.Reclaimable != order.Reclaimable {
			kept = append(kept, server)
		}
	}
	for range order.Count {
		kept = append(kept, directory.Server{Service: order.Service, Domain: order.Domain, Reclaimable: order.Reclaimable})
	}
	world.servers = kept
}

func (world *world) count(reclaimable bool) int {
	count := 0
	for _, server := range world.servers {
		if server.Reclaimable == reclaimable {
			count++
		}
	}
	return count
}

func (world *world) reclaim(domain string) {
	world.dry = true
	var kept []directory.Server
	for _, server := range world.servers {
		if !server.Reclaimable || server.Domain != domain {
			kept = append(kept, server)
		}
	}
	world.servers = kept
}

// Guards against fixed servers that are paid for all day, against a reclaim that is not made
// good, and against orders that are made again and again.
func TestPlannerFollowsDemandAndReclaims(t *testing.T) {
	world := &world{now: time.Minute}
	for _, domain := range domains {
		world.fill(capacity.Order{Service: "engines", Domain: domain, Count: 4})
	}
	for range 200 {
		world.look(120000)
	}
	assert.LessOrEqual(t, world.count(false), 4, "fixed servers once the reclaimable ones are there")
	assert.GreaterOrEqual(t, world.count(true), 12)
	orders := world.orders
	for range 80 {
		world.look(120000)
	}
	assert.Equal(t, orders, world.orders, "nothing changed")
	for _, domain := range domains {
		world.reclaim(domain)
	}
	world.look(120000)
	world.look(120000)
	assert.GreaterOrEqual(t, world.count(false), 8, "fixed servers while no others are to be had")
	world.dry = false
	for range 80 {
		world.look(120000)
	}
	assert.LessOrEqual(t, world.count(false), 4, "after the shortage")
}

// Guards against a new holder of the duty that gives servers up on the demand of a moment. While
// no reclaimable servers were to be had, they could not be ordered back (incident ef13).
func TestNewHolderKeepsTheServersThatItFinds(t *testing.T) {
	world := &world{now: time.Hour}
	for _, domain := range domains {
		world.fill(capacity.Order{Service: "engines", Domain: domain, Count: 7, Reclaimable: true})
		world.fill(capacity.Order{Service: "engines", Domain: domain, Count: 1})
	}
	for range 100 {
		world.look(30000)
		require.GreaterOrEqual(t, world.count(true), 20)
	}
	for range 100 {
		world.look(30000)
	}
	assert.Less(t, world.count(true), 20, "the demand is known to be low")
}

// Guards against a reclaim that passes for an order which has not started yet, and so is not
// noticed for seconds. Meanwhile, fixed servers would even be given up.
func TestReclaimRightAfterAnOrderIsMadeGood(t *testing.T) {
	world := &world{now: time.Minute}
	for _, domain := range domains {
		world.fill(capacity.Order{Service: "engines", Domain: domain, Count: 4, Reclaimable: true})
	}
	for range 80 {
		world.look(40000)
	}
	before := world.count(true)
	for range 2 {
		world.look(120000)
	}
	assert.Greater(t, world.count(true), before, "more were ordered")
	world.reclaim("a")
	for range 8 {
		world.look(120000)
	}
	assert.GreaterOrEqual(t, world.count(false), 8, "all of the need by fixed servers within 2 s")
}
