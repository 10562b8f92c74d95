package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// RetryBudgets bounds the retries of calls, separately for each service.
type RetryBudgets struct {
	// floor is the number of retries that this entry may send to a service that gets few
	// or no calls.
	floor *rcu.Cell[float64]
	cells rcu.Cells[string, retry.Budget]
}

// NewRetryBudgets returns unspent budgets that allow floor retries for a service without
// calls.
func NewRetryBudgets(floor float64) *RetryBudgets {
	return &RetryBudgets{floor: rcu.New(floor), cells: rcu.NewCells[string, retry.Budget]()}
}

// SetFloor changes the number of retries for a service without calls, which depends on
// the number of entries.
func (retryBudgets *RetryBudgets) SetFloor(floor float64) { retryBudgets.floor.Store(floor) }

// RecordCall records a call to a service, which adds a fraction of a retry to its budget.
func (retryBudgets *RetryBudgets) RecordCall(service string) {
	now := time.Now()
	retryBudgets.cells.GetOrCreate(service, retry.Budget{}).Update(func(budget retry.Budget) retry.Budget { return budget.WithSuccess(now) })
}

// Spend takes one retry from the budget of a service, or returns false if none is left.
func (retryBudgets *RetryBudgets) Spend(service string) bool {
	now, floor := time.Now(), retryBudgets.floor.Load()
	_, ok := rcu.Apply(retryBudgets.cells.GetOrCreate(service, retry.Budget{}), func(budget retry.Budget) (retry.Budget, bool) {
		return budget.WithFloor(floor).WithSpend(now)
	})
	return ok
}
