package retry

import (
	"math"
	"time"
)

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
	// BudgetWindow is the time constant of the decay: after it, a success counts 1/e.
	BudgetWindow = 10 * time.Second
)

// Budget limits the sum of retries and hedges to a share of recent successes.
//
// Successes and spending decay at the same rate, so that over a time T at most
// BudgetShare × successes + BudgetFloor × (1 + T / BudgetWindow) are spent. The
// zero value is a budget without successes.
type Budget struct {
	// successes and spent are the decayed numbers at updatedAt.
	successes float64
	spent     float64
	updatedAt time.Time
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
	budget = budget.decayed(now)
	budget.successes++
	return budget
}

// WithSpend returns the budget after one retry or hedge, or false if it does not allow one.
func (budget Budget) WithSpend(now time.Time) (Budget, bool) {
	budget = budget.decayed(now)
	if !budget.Allows(now) {
		return budget, false
	}
	budget.spent++
	return budget, true
}

// WithHedge returns the budget after one hedge, or false if the hedges' share does not allow one.
func (budget Budget) WithHedge(now time.Time) (Budget, bool) {
	budget = budget.decayed(now)
	if budget.spent+1 > HedgeShare*budget.successes {
		return budget, false
	}
	budget.spent++
	return budget, true
}

// WithRefund returns the budget after a charged retry turned out to have sent nothing.
func (budget Budget) WithRefund(now time.Time) Budget {
	budget = budget.decayed(now)
	budget.spent = max(0, budget.spent-1)
	return budget
}

// Allows reports whether the budget allows one more retry or hedge.
func (budget Budget) Allows(now time.Time) bool {
	budget = budget.decayed(now)
	floor := BudgetFloor
	if budget.floor > 0 {
		floor = budget.floor
	}
	return budget.spent+1 <= BudgetShare*budget.successes+floor
}

// decayed returns the budget with its numbers decayed up to now.
func (budget Budget) decayed(now time.Time) Budget {
	// Goroutines may report in a different order than they read the clock, so now may be
	// before the last update; the budget does not decay then.
	if !now.After(budget.updatedAt) {
		return budget
	}
	if !budget.updatedAt.IsZero() {
		decay := math.Exp(-now.Sub(budget.updatedAt).Seconds() / BudgetWindow.Seconds())
		budget.successes *= decay
		budget.spent *= decay
	}
	budget.updatedAt = now
	return budget
}
