package order_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against model loads that exceed the rate of the weight store, starve a large
// load, or overtake one of higher priority.
func TestLoadsStayWithinTheWeightStoresRate(t *testing.T) {
	const gigabyte = 1_000_000_000
	large, small, urgent := order.PendingLoad{Server: "a", Bytes: 40 * gigabyte, Priority: 2}, order.PendingLoad{Server: "b", Bytes: gigabyte, Priority: 1}, order.PendingLoad{Server: "c", Bytes: 10 * gigabyte, Priority: 3}
	cases := []struct {
		name  string
		rate  float64
		spent int64
		after time.Duration
		loads []order.PendingLoad
		limit int
		want  []order.PendingLoad
		next  time.Duration
	}{
		{"within the burst, by priority", gigabyte, 0, 0, []order.PendingLoad{small, urgent}, 9, []order.PendingLoad{urgent, small}, 0},
		{"a small load does not overtake a large one", gigabyte, 0, 0, []order.PendingLoad{small, large, urgent}, 9, []order.PendingLoad{urgent}, 10 * time.Second},
		{"larger than the burst", gigabyte, 0, 0, []order.PendingLoad{large, small}, 9, []order.PendingLoad{large}, 21 * time.Second},
		{"budget exhausted", gigabyte, 20 * gigabyte, 0, []order.PendingLoad{urgent}, 9, nil, 10 * time.Second},
		{"refilled", gigabyte, 20 * gigabyte, 10 * time.Second, []order.PendingLoad{urgent}, 9, []order.PendingLoad{urgent}, 0},
		{"limited number", gigabyte, 0, 0, []order.PendingLoad{small, urgent}, 1, []order.PendingLoad{urgent}, 0},
		{"no rate limit", 0, 0, 0, []order.PendingLoad{small, large}, 9, []order.PendingLoad{large, small}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget, _, _ := order.NewBudget(c.rate, 20*gigabyte, start).WithLoads([]order.PendingLoad{{Bytes: c.spent}}, 1, start)
			_, got, next := budget.WithLoads(c.loads, c.limit, start.Add(c.after))
			assert.ElementsMatch(t, c.want, got)
			if c.next == 0 {
				assert.Zero(t, next)
				return
			}
			assert.WithinDuration(t, start.Add(c.after+c.next), next, 2*time.Millisecond)
		})
	}
}

// Guards against sequences of orders that load before they unload and so run out of
// memory, assign a role before its weights are loaded, or never end.
func TestOrdersLeadToTheDesiredState(t *testing.T) {
	model, adapter, old := order.WeightsKey{Model: "m"}, order.WeightsKey{Model: "m", Adapter: "a"}, order.WeightsKey{Model: "old"}
	state := order.ServerState{Role: order.RoleBoth}.WithOrder(order.Order{Kind: order.KindLoad, WeightsKey: old, Version: "1"}).
		WithOrder(order.Order{Kind: order.KindLoad, WeightsKey: model, Version: "1"})
	desired := order.Desired{Role: order.RoleDecode, Weights: []order.DesiredWeights{{WeightsKey: adapter, Version: "1"}, {WeightsKey: model, Version: "2"}}}
	target := order.Target{Server: order.Server{Name: "s", Fencing: config.FencingRefuses}, Desired: desired}
	fleet := order.NewFleet(7, start, order.DefaultTiming(time.Second), order.NewBudget(0, 0, start)).WithTargets([]order.Target{target}, start)
	var sent []order.Order
	for range 20 {
		next, actions, _ := fleet.WithActions(start)
		fleet = next
		for _, action := range actions {
			result := order.Result{Action: action, State: &state}
			if action.Kind == order.StepSend {
				sent = append(sent, action.Order)
				state = state.WithOrder(action.Order).WithFencing(action.FencingNumber)
				result = order.Result{Action: action, Outcome: order.OutcomeDone}
			}
			var isCurrent bool
			fleet, isCurrent = fleet.WithResult(result, start)
			assert.True(t, isCurrent)
		}
	}
	assert.True(t, fleet.Converged("s"))
	assert.Equal(t, []order.Order{
		{Kind: order.KindRole, Role: order.RoleDecode}, // makes the server accept the fencing number
		{Kind: order.KindUnload, WeightsKey: old},
		{Kind: order.KindLoad, WeightsKey: model, Version: "2"},
		{Kind: order.KindLoad, WeightsKey: adapter, Version: "1"},
	}, sent)
}
