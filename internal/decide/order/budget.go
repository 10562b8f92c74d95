package order

import (
	"cmp"
	"slices"
	"time"
)

// Budget is a token bucket that limits the bytes read from the weight store.
type Budget struct {
	// rate is in bytes per second, 0 for no limit.
	rate      float64
	burst     float64
	level     float64
	updatedAt time.Time
}

// PendingLoad is a model load that waits for the budget of the weight store.
type PendingLoad struct {
	Server   string
	Bytes    int64
	Priority float64
}

// NewBudget returns a full budget with a rate in bytes per second, 0 for no limit, and a burst in bytes.
func NewBudget(rate float64, burst int64, now time.Time) Budget {
	return Budget{rate: rate, burst: float64(burst), level: float64(burst), updatedAt: now}
}

// WithLoads returns the budget after the loads that may start now, those loads, of which
// there are at most limit, and the time at which the next load may start.
//
// Loads start in order of priority, and no smaller load overtakes a waiting one,
// because a large load would starve otherwise. A load larger than the burst starts
// when the budget is full and leaves a debt. The time is zero if no load waits for
// the budget.
func (budget Budget) WithLoads(loads []PendingLoad, limit int, now time.Time) (Budget, []PendingLoad, time.Time) {
	budget = budget.withTime(now)
	ordered := slices.SortedStableFunc(slices.Values(loads), func(a, b PendingLoad) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Server, b.Server))
	})
	ordered = ordered[:min(limit, len(ordered))]
	if budget.rate <= 0 {
		return budget, ordered, time.Time{}
	}
	for i, load := range ordered {
		if missing := min(float64(load.Bytes), budget.burst) - budget.level; missing > 0 {
			// Rounding up prevents a timer from firing just before the budget suffices.
			wait := time.Duration(missing/budget.rate*float64(time.Second)) + time.Millisecond
			return budget, ordered[:i], now.Add(wait)
		}
		budget.level -= float64(load.Bytes)
	}
	return budget, ordered, time.Time{}
}

// WithRefund returns the budget after the charge for a load that certainly did not start was returned.
func (budget Budget) WithRefund(bytes int64) Budget {
	budget.level = min(budget.burst, budget.level+float64(bytes))
	return budget
}

// withTime returns the budget refilled up to now.
func (budget Budget) withTime(now time.Time) Budget {
	if elapsed := now.Sub(budget.updatedAt); elapsed > 0 {
		budget.level = min(budget.burst, budget.level+budget.rate*elapsed.Seconds())
		budget.updatedAt = now
	}
	return budget
}
