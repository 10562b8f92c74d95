package retry

import (
	"math"
	"time"
)

const (
	// BudgetShare is the number of retries and hedges per recent success. It
	// bounds the load that failures add to the undisturbed load to a fifth, which
	// servers at the usual utilisation of 0.7 to 0.8 can carry.
	BudgetShare = 0.2
	// HedgeShare is the part of BudgetShare that hedges may use. The rest and the
	// floor stay for failed work, which has no other try in progress.
	HedgeShare = 0.1
	// BudgetFloor is the number of retries and hedges within one window that a
	// service without successes has, so that a quiet service can retry.
	BudgetFloor = 3.0
	// BudgetWindow is the time after which a success counts 1/e.
	BudgetWindow = 10 * time.Second
)

// Budget bounds retries and hedges together by a share of recent successes.
//
// Both counts decay alike, so that over a time T at most BudgetShare × successes
// + BudgetFloor × (1 + T / BudgetWindow) are spent. The zero value is a budget
// without successes.
type Budget struct {
	successes float64
	spent     float64
	at        time.Time
	// floor replaces BudgetFloor where it is not 0.
	floor float64
}

// WithFloor returns the budget with another number of retries for a service without successes.
func (budget Budget) WithFloor(floor float64) Budget {
	budget.floor = floor
	return budget
}

// WithSuccess returns the budget after a request was answered.
func (budget Budget) WithSuccess(now time.Time) Budget {
	budget = budget.decayed(now)
	budget.successes++
	return budget
}

// WithSpend returns the budget after one retry or hedge, or false when none is left.
func (budget Budget) WithSpend(now time.Time) (Budget, bool) {
	budget = budget.decayed(now)
	if !budget.Allows(now) {
		return budget, false
	}
	budget.spent++
	return budget, true
}

// WithHedge returns the budget after one hedge, or false when none is left.
func (budget Budget) WithHedge(now time.Time) (Budget, bool) {
	budget = budget.decayed(now)
	if budget.spent+1 > HedgeShare*budget.successes {
		return budget, false
	}
	budget.spent++
	return budget, true
}

// WithRefund returns the budget after a retry that sent nothing after all.
func (budget Budget) WithRefund(now time.Time) Budget {
	budget = budget.decayed(now)
	budget.spent = max(0, budget.spent-1)
	return budget
}

// Allows reports whether one more retry or hedge is left.
func (budget Budget) Allows(now time.Time) bool {
	budget = budget.decayed(now)
	floor := BudgetFloor
	if budget.floor > 0 {
		floor = budget.floor
	}
	return budget.spent+1 <= BudgetShare*budget.successes+floor
}

func (budget Budget) decayed(now time.Time) Budget {
	// Threads may report in another order than they read the clock; decay never runs backwards.
	if !now.After(budget.at) {
		return budget
	}
	if !budget.at.IsZero() {
		kept := math.Exp(-now.Sub(budget.at).Seconds() / BudgetWindow.Seconds())
		budget.successes *= kept
		budget.spent *= kept
	}
	budget.at = now
	return budget
}
