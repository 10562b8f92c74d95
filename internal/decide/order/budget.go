package order

import (
	"cmp"
	"slices"
	"time"
)

// Budget is a token bucket over the bytes that the weight store may be asked for.
type Budget struct {
	// rate is in bytes per second, 0 for no bound.
	rate  float64
	burst float64
	level float64
	at    time.Time
}

// PendingLoad is a load that waits for the weight store.
type PendingLoad struct {
	Server string
	Bytes  int64
	Need   float64
}

// NewBudget returns a full budget of a rate in bytes per second, 0 for no bound, and a burst in bytes.
func NewBudget(rate float64, burst int64, now time.Time) Budget {
	return Budget{rate: rate, burst: float64(burst), level: float64(burst), at: now}
}

// WithLoads returns the budget less the loads that may start now, at most the given number, and when the next one may start.
//
// The highest need goes first, and no smaller load passes one that waits, which
// would otherwise starve. A load larger than the burst starts when the budget is
// full and leaves a debt. The time is zero when no load waits
// for the budget.
func (budget Budget) WithLoads(loads []PendingLoad, most int, now time.Time) (Budget, []PendingLoad, time.Time) {
	budget = budget.withTime(now)
	ordered := slices.SortedStableFunc(slices.Values(loads), func(a, b PendingLoad) int {
		return cmp.Or(cmp.Compare(b.Need, a.Need), cmp.Compare(a.Server, b.Server))
	})
	ordered = ordered[:min(most, len(ordered))]
	if budget.rate <= 0 {
		return budget, ordered, time.Time{}
	}
	for i, load := range ordered {
		if lack := min(float64(load.Bytes), budget.burst) - budget.level; lack > 0 {
			// Rounding up keeps a timer from firing just before the budget suffices.
			wait := time.Duration(lack/budget.rate*float64(time.Second)) + time.Millisecond
			return budget, ordered[:i], now.Add(wait)
		}
		budget.level -= float64(load.Bytes)
	}
	return budget, ordered, time.Time{}
}

// WithRefund returns the budget after a load that surely did not start.
func (budget Budget) WithRefund(bytes int64) Budget {
	budget.level = min(budget.burst, budget.level+float64(bytes))
	return budget
}

func (budget Budget) withTime(now time.Time) Budget {
	if passed := now.Sub(budget.at); passed > 0 {
		budget.level = min(budget.burst, budget.level+budget.rate*passed.Seconds())
		budget.at = now
	}
	return budget
}
