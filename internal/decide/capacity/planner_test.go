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

// Guards against too few servers after the loss of the reclaimable ones in one failure
// domain, and against more servers than may be ordered.
func TestPlanCarriesTheNeedAfterALoss(t *testing.T) {
	for need := 0.5; need < 20; need += 0.5 {
		plan := capacity.NewPlan(scaling(), domains, need, map[string]int{"a": 30, "b": 30, "c": 30}, false)
		for _, domain := range domains {
			count := plan.OnDemand[domain] + plan.Reclaimable[domain]
			assert.LessOrEqual(t, count, 8, "need %v", need)
			assert.GreaterOrEqual(t, count, 1, "need %v", need)
			remaining := sum(plan.OnDemand) + sum(plan.Reclaimable) - plan.Reclaimable[domain]
			assert.GreaterOrEqual(t, float64(remaining), min(need, 16), "need %v after the loss of %s", need, domain)
		}
	}
}

// Guards against too few servers while no reclaimable ones are available, and after
// the next reclaim.
func TestOnDemandServersReplaceMissingOnes(t *testing.T) {
	cases := []struct {
		name        string
		present     map[string]int
		shortage    bool
		minOnDemand int
	}{
		{"none", nil, false, 9},
		{"few", map[string]int{"a": 2, "b": 2}, false, 5},
		{"all in one failure domain: 0.65 of the need must survive", map[string]int{"a": 12}, false, 6},
		{"enough in two", map[string]int{"a": 7, "b": 7}, false, 1},
		{"enough in two during a shortage: all may be lost", map[string]int{"a": 7, "b": 7}, true, 9},
		{"many in three", map[string]int{"a": 7, "b": 7, "c": 7}, false, 1},
	}
	for _, c := range cases {
		onDemand := sum(capacity.NewPlan(scaling(), domains, 9, c.present, c.shortage).OnDemand)
		assert.GreaterOrEqual(t, onDemand, c.minOnDemand, c.name)
		assert.LessOrEqual(t, onDemand, c.minOnDemand+1, c.name)
	}
	plan := capacity.NewPlan(scaling(), domains, 2, map[string]int{"a": 7, "b": 7, "c": 7}, false)
	assert.Equal(t, map[string]int{"b": 1}, plan.OnDemand, "the cheapest failure domain comes first")
}

// Guards against on-demand servers for all of the need while the reclaimable ones in many failure domains cover it
// several times over: one reclaim, after which none were available, made a large fleet pay for twice its need.
func TestShortageOfOneOfManyFailureDomains(t *testing.T) {
	many := []string{"a", "b", "c", "d", "e"}
	limits := scaling()
	limits.MaxServers = 104
	cases := []struct {
		name                     string
		present                  map[string]int
		minOnDemand, maxOnDemand int
	}{
		{"more than the need in two of four", map[string]int{"b": 70, "c": 70, "d": 70, "e": 70}, 15, 15},
		{"a part of the need in two of four", map[string]int{"b": 30, "c": 30, "d": 30, "e": 30}, 40, 40},
		{"two left", map[string]int{"d": 70, "e": 70}, 100, 100},
		{"none left", nil, 100, 100},
	}
	for _, c := range cases {
		onDemand := sum(capacity.NewPlan(limits, many, 100, c.present, true).OnDemand)
		assert.GreaterOrEqual(t, onDemand, c.minOnDemand, c.name)
		assert.LessOrEqual(t, onDemand, c.maxOnDemand, c.name)
	}
}

// environment is a provider that fulfils orders immediately. While shortage is set, it
// refuses orders for reclaimable servers.
type environment struct {
	planner  capacity.Planner
	servers  []directory.Server
	shortage bool
	now      time.Duration
	orders   int
}

// step calls the planner once with the given demand and places its orders.
func (environment *environment) step(demand float64) {
	input := capacity.Input{
		Service: route.Service{Name: "engines", Scaling: scaling()}, Domains: domains, Servers: environment.servers,
		Demand: demand, PrefillRate: 25000, Now: environment.now,
	}
	planner, orders := environment.planner.WithInput(input)
	for _, order := range orders {
		environment.orders++
		accepted := !order.Reclaimable || !environment.shortage
		planner = planner.WithOrder(order, accepted, environment.now)
		if accepted {
			environment.fill(order)
		}
	}
	environment.planner = planner
	environment.now += 250 * time.Millisecond
}

// fill starts or stops servers so that their number is that of the order.
func (environment *environment) fill(order capacity.Order) {
	var servers []directory.Server
	for _, server := range environment.servers {
		if server.Domain != order.Domain || server.Reclaimable != order.Reclaimable {
			servers = append(servers, server)
		}
	}
	for range order.Count {
		servers = append(servers, directory.Server{Service: order.Service, Domain: order.Domain, Reclaimable: order.Reclaimable})
	}
	environment.servers = servers
}

func (environment *environment) count(reclaimable bool) int {
	count := 0
	for _, server := range environment.servers {
		if server.Reclaimable == reclaimable {
			count++
		}
	}
	return count
}

// reclaim ends the reclaimable servers of a failure domain and starts a shortage.
func (environment *environment) reclaim(domain string) {
	environment.shortage = true
	var servers []directory.Server
	for _, server := range environment.servers {
		if !server.Reclaimable || server.Domain != domain {
			servers = append(servers, server)
		}
	}
	environment.servers = servers
}

// Guards against on-demand servers that are kept although reclaimable ones are
// available, against servers that are not replaced after a reclaim, and against
// orders that are repeated although nothing has changed.
func TestPlannerFollowsDemandAndReclaims(t *testing.T) {
	environment := &environment{now: time.Minute}
	for _, domain := range domains {
		environment.fill(capacity.Order{Service: "engines", Domain: domain, Count: 4})
	}
	for range 200 {
		environment.step(120000)
	}
	assert.LessOrEqual(t, environment.count(false), 4, "on-demand servers once the reclaimable ones are present")
	assert.GreaterOrEqual(t, environment.count(true), 12)
	orders := environment.orders
	for range 80 {
		environment.step(120000)
	}
	assert.Equal(t, orders, environment.orders, "nothing changed")
	for _, domain := range domains {
		environment.reclaim(domain)
	}
	environment.step(120000)
	environment.step(120000)
	assert.GreaterOrEqual(t, environment.count(false), 8, "on-demand servers while no reclaimable ones are available")
	environment.shortage = false
	for range 80 {
		environment.step(120000)
	}
	assert.LessOrEqual(t, environment.count(false), 4, "after the shortage")
}

// Guards against a new leader that releases servers because demand is low for a moment.
// While no reclaimable servers were available, released ones could not be ordered
// again (incident ef13).
func TestNewLeaderKeepsTheServersThatItFinds(t *testing.T) {
	environment := &environment{now: time.Hour}
	for _, domain := range domains {
		environment.fill(capacity.Order{Service: "engines", Domain: domain, Count: 7, Reclaimable: true})
		environment.fill(capacity.Order{Service: "engines", Domain: domain, Count: 1})
	}
	for range 4 * 85 {
		environment.step(30000)
		require.GreaterOrEqual(t, environment.count(true), 20)
	}
	for range 4 * 15 {
		environment.step(30000)
	}
	assert.Less(t, environment.count(true), 20, "the demand has been low for long enough")
}

// Guards against a new leader that lets seconds pass before it replaces lost servers, although its entry has known the
// servers and the demand for long.
func TestNewLeaderOfARunningEntryOrdersAtOnce(t *testing.T) {
	input := capacity.Input{
		Service: route.Service{Name: "engines", Scaling: scaling()}, Domains: domains, Demand: 120000, PrefillRate: 25000,
		Servers: []directory.Server{{Domain: "a"}, {Domain: "b"}}, Now: time.Hour, KnownSince: time.Hour - time.Minute,
	}
	_, orders := capacity.Planner{}.WithInput(input)
	assert.NotEmpty(t, orders)
	input.KnownSince = time.Hour - 3*time.Second
	_, orders = capacity.Planner{}.WithInput(input)
	assert.Empty(t, orders, "an entry that has just started may not know all servers yet")
}

// Guards against a reclaim that is mistaken for an order whose servers have not started
// yet, and is therefore not noticed for seconds. On-demand servers were even released
// in that time.
func TestServersReclaimedRightAfterAnOrderAreReplaced(t *testing.T) {
	environment := &environment{now: time.Minute}
	for _, domain := range domains {
		environment.fill(capacity.Order{Service: "engines", Domain: domain, Count: 4, Reclaimable: true})
	}
	for range 80 {
		environment.step(40000)
	}
	before := environment.count(true)
	for range 2 {
		environment.step(120000)
	}
	assert.Greater(t, environment.count(true), before, "more were ordered")
	environment.reclaim("a")
	for range 8 {
		environment.step(120000)
	}
	assert.GreaterOrEqual(t, environment.count(false), 8, "on-demand servers cover all of the need within 2 s")
}

// Guards against reclaimed servers that are not replaced because the demand now needs fewer than were ordered: an order
// for fewer than the last one counted as a release, even where no server was left to release.
func TestReclaimedServersAreReplacedByFewerThanWereOrdered(t *testing.T) {
	environment := &environment{now: time.Minute}
	for _, domain := range domains {
		environment.fill(capacity.Order{Service: "engines", Domain: domain, Count: 6})
	}
	for range 4 * 20 {
		environment.step(60000)
	}
	before := environment.count(true)
	environment.reclaim("a")
	environment.shortage = false
	for range 4 * 5 {
		environment.step(60000)
	}
	after := map[string]int{}
	for _, server := range environment.servers {
		if server.Reclaimable {
			after[server.Domain]++
		}
	}
	// A need of 4, with a tenth more after the loss of one of three failure domains.
	assert.GreaterOrEqual(t, after["a"], 3)
	assert.Equal(t, before/3, after["b"], "no other server is released")
}

// Guards against a reserve that is ordered twice: the servers that run at the start have one, and a plan adds its own. With
// the whole number as the need, 21 reclaimable servers replaced 12 before any demand was known, and stayed for 90 s.
func TestReserveOfTheServersAtTheStartIsNotOrderedTwice(t *testing.T) {
	const found, need = 12, 8
	environment := &environment{now: time.Minute}
	for _, domain := range domains {
		environment.fill(capacity.Order{Service: "engines", Domain: domain, Count: found / len(domains)})
	}
	for range 4 * 12 {
		environment.step(0)
	}
	assert.LessOrEqual(t, environment.count(true)+environment.count(false), found*3/2, "so that as many as were found remain after the loss of a third")
	environment.reclaim("a")
	assert.GreaterOrEqual(t, environment.count(true)+environment.count(false), need)
}
