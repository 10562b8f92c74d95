package retry

import "time"

const (
	// BudgetShare is the maximum number of retries and hedges per recent success. It
	// limits the extra load during failures to a fifth of the normal load, which
	// servers at the usual utilisation of 0.7 to 0.8 can carry.
	BudgetShare = 0.2
	// HedgeShare is the part of BudgetShare that hedges may use. The remainder and
	// BudgetFloor are reserved for failed requests, which have no other try in progress.
	HedgeShare = 0.1
	// BudgetFloor is the number of retries and hedges per BudgetWindow that a service
	// without successes may use, so that a service with little traffic can retry.
	BudgetFloor = 3.0
	// BudgetWindow is the time for which successes and spending count.
	BudgetWindow = 10 * time.Second
)

// Budget limits the sum of retries and hedges to a share of recent successes.
//
// Both count in a sliding window, so that in any BudgetWindow at most BudgetShare × successes + BudgetFloor are spent. Sums that decay
// while they are spent would allow twice as much after a calm time. The zero value is a budget without successes.
type Budget struct {
	counts windowCounts
	// floor replaces BudgetFloor if it is not 0.
	floor float64
}

// WithFloor returns the budget with the given floor in place of [BudgetFloor].
func (budget Budget) WithFloor(floor float64) Budget {
	budget.floor = floor
	return budget
}

// WithSuccess returns the budget after a successful request.
func (budget Budget) WithSuccess(now time.Time) Budget {
	budget.counts = budget.counts.withSuccesses(1, now)
	return budget
}

// WithSpend returns the budget after one retry or hedge, or false if it does not allow one.
func (budget Budget) WithSpend(now time.Time) (Budget, bool) {
	budget.counts = budget.counts.at(now)
	if !budget.Allows(now) {
		return budget, false
	}
	budget.counts = budget.counts.withSpent(1, now)
	return budget, true
}

// WithHedge returns the budget after one hedge, or false if the hedges' share does not allow one.
func (budget Budget) WithHedge(now time.Time) (Budget, bool) {
	budget.counts = budget.counts.at(now)
	if float64(budget.counts.spent+1) > HedgeShare*float64(budget.counts.successes) {
		return budget, false
	}
	budget.counts = budget.counts.withSpent(1, now)
	return budget, true
}

// WithRefund returns the budget after a charged retry turned out to have sent nothing.
func (budget Budget) WithRefund(now time.Time) Budget {
	budget.counts = budget.counts.at(now).withRefund()
	return budget
}

// Allows reports whether the budget allows one more retry or hedge.
func (budget Budget) Allows(now time.Time) bool {
	counts, floor := budget.counts.at(now), BudgetFloor
	if budget.floor > 0 {
		floor = budget.floor
	}
	return float64(counts.spent+1) <= BudgetShare*float64(counts.successes)+floor
}
