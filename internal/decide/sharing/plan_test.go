package sharing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/sharing"
)

// Guards against plans that admit more than the capacity, leave a part of it, or starve a class, for any demand.
func TestPlansKeepTheCapacityAndTheFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := sharing.Demand{Asked: map[sharing.Class]float64{}, Usual: map[string]float64{}, Capacity: rapid.Float64Range(1, 1000).Draw(t, "capacity")}
		total := 0.0
		for _, account := range []string{"a", "b", "c", "d"} {
			demand.Usual[account] = rapid.Float64Range(0, 300).Draw(t, "usual")
			for priority := range 3 {
				asked := rapid.Float64Range(0.1, 300).Draw(t, "asked")
				demand.Asked[sharing.Class{Account: account, Priority: priority}] = asked
				total += asked
			}
		}
		plan, admitted := sharing.NewPlan(demand), 0.0
		for class, asked := range demand.Asked {
			admitted += plan.Part(class) * asked
			assert.GreaterOrEqual(t, plan.Part(class), 0.25*min(1, demand.Capacity/total), "the floor of %v", class)
		}
		assert.InEpsilon(t, min(total, demand.Capacity), admitted, 0.001, "admitted")
	})
}

// Guards against an account's excess, or a lower priority, that is served while usual calls of a higher one are rejected.
func TestExcessIsRejectedFirstThenLowerPriorities(t *testing.T) {
	asked := map[sharing.Class]float64{}
	for priority := range 3 {
		asked[sharing.Class{Account: "usual", Priority: priority}] = 100
		asked[sharing.Class{Account: "excess", Priority: priority}] = 500
	}
	demand := sharing.Demand{Asked: asked, Usual: map[string]float64{"usual": 300, "excess": 300}, Capacity: 900}
	plan := sharing.NewPlan(demand)
	for priority := range 3 {
		assert.InDelta(t, 1, plan.Part(sharing.Class{Account: "usual", Priority: priority}), 0.01, "priority %d", priority)
		assert.Less(t, plan.Part(sharing.Class{Account: "excess", Priority: priority}), 0.95, "priority %d", priority)
	}
	demand.Capacity = 450
	plan = sharing.NewPlan(demand)
	for priority := range 2 {
		assert.GreaterOrEqual(t, plan.Part(sharing.Class{Account: "usual", Priority: priority}), plan.Part(sharing.Class{Account: "usual", Priority: priority + 1}), "priority %d", priority)
	}
}

// Guards against rejected callers that come back together, before those of higher priorities, or later than they wait.
func TestRejectedCallersComeBackInOrder(t *testing.T) {
	asked := map[sharing.Class]float64{}
	for priority := range 3 {
		asked[sharing.Class{Account: "a", Priority: priority}] = 100
	}
	plan := sharing.NewPlan(sharing.Demand{Asked: asked, Capacity: 60})
	const timeLeft = 3 * time.Second
	for priority := range 2 {
		higher, lower := sharing.Class{Account: "a", Priority: priority}, sharing.Class{Account: "a", Priority: priority + 1}
		assert.LessOrEqual(t, plan.RetryAfter(higher, timeLeft, 0.99), plan.RetryAfter(lower, timeLeft, 0), "priority %d", priority)
		assert.Less(t, plan.RetryAfter(higher, timeLeft, 0)+200*time.Millisecond, plan.RetryAfter(higher, timeLeft, 0.99))
	}
	assert.LessOrEqual(t, plan.RetryAfter(sharing.Class{Account: "a", Priority: 2}, timeLeft, 0.99), timeLeft/3)
}

// Guards against calls that are rejected while half of the slots are free, by an old plan or old figures.
func TestNothingIsRejectedWithHalfOfTheSlotsFree(t *testing.T) {
	classes := []sharing.Class{{Account: "a"}, {Account: "a", Priority: 1}}
	state, now := sharing.State{}, time.Minute
	for range 300 {
		now += 10 * time.Millisecond
		for _, class := range classes {
			state = state.WithAsked(class, 10, now).WithStart()
		}
		state = state.WithEnd(10, true, now)
		state = state.WithOthers("s", nil, sharing.Scope{Classes: classes}, 20, now)
	}
	assert.Less(t, state.Plan().Part(classes[1]), 1.0, "while capacity lacks")
	for range 291 {
		state = state.WithEnd(10, false, now)
	}
	emptied := state.WithOthers("s", nil, sharing.Scope{Classes: classes}, 20, now+10*time.Millisecond)
	assert.InDelta(t, 0.45, emptied.Load(), 0.01)
	assert.InDelta(t, 1, emptied.Plan().Part(classes[1]), 0, "once half of the slots are free")
	state = state.WithOthers("s", nil, sharing.Scope{Classes: classes}, 10000, now+100*time.Millisecond)
	assert.InDelta(t, 1, state.Plan().Part(classes[1]), 0, "once there are servers")
	assert.True(t, state.HasRoom())
}

// Guards against sharing where an operator has given no priorities, and against an account's own priority that is ignored.
func TestOnlyServicesWithPrioritiesAreShared(t *testing.T) {
	weighted := func(service string) []route.WeightedService {
		return []route.WeightedService{{Service: service, Weight: 1}}
	}
	routes := []route.Route{
		{Name: "r1", Host: "h", Services: weighted("alike"), Priority: 2},
		{Name: "r2", Host: "h", Services: weighted("alike"), Priority: 2},
		{Name: "r3", Host: "h", Services: weighted("differ"), Priority: 2},
		{Name: "r4", Host: "h", Services: weighted("differ"), Priority: 0},
	}
	accounts := []route.Account{{Name: "a"}, {Name: "b"}}
	scopes := sharing.Scopes(route.NewTable(1, routes, nil, accounts, route.Limits{}))
	assert.NotContains(t, scopes, "alike")
	assert.Equal(t, []sharing.Class{{Account: "a"}, {Account: "b"}, {Account: "a", Priority: 2}, {Account: "b", Priority: 2}}, scopes["differ"].Classes)
	accounts[0].HasPriority = true
	assert.Contains(t, sharing.Scopes(route.NewTable(1, routes, nil, accounts, route.Limits{})), "alike")
}

// Guards against a long answer that counts like a short one.
func TestWorkGrowsWithTokens(t *testing.T) {
	assert.Greater(t, sharing.WorkOf(call.Prompt{Input: 100, Output: 500}, true), sharing.WorkOf(call.Prompt{Input: 500, Output: 100}, true))
	assert.InDelta(t, sharing.WorkOf(call.Prompt{Input: 100}, false), sharing.WorkOf(call.Prompt{}, false), 0)
}
