package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// RetryBudgets bounds the repeats of calls by service.
type RetryBudgets struct {
	// floor is the number of repeats that this entry may send in a quiet time.
	floor *rcu.Cell[float64]
	cells rcu.Cells[string, retry.Budget]
}

// NewRetryBudgets returns budgets with nothing spent, and that many repeats for a service without calls.
func NewRetryBudgets(floor float64) *RetryBudgets {
	return &RetryBudgets{floor: rcu.New(floor), cells: rcu.NewCells[string, retry.Budget]()}
}

// SetFloor changes the number of repeats for a service without calls, when the number of entries changes.
func (retryBudgets *RetryBudgets) SetFloor(floor float64) { retryBudgets.floor.Store(floor) }

// RecordCall notes a call to a service, which earns a part of a repeat.
func (retryBudgets *RetryBudgets) RecordCall(service string) {
	now := time.Now()
	retryBudgets.cells.Of(service, retry.Budget{}).Update(func(budget retry.Budget) retry.Budget { return budget.WithSuccess(now) })
}

// Spend takes one repeat, or reports that none is left.
func (retryBudgets *RetryBudgets) Spend(service string) bool {
	now, floor := time.Now(), retryBudgets.floor.Load()
	_, ok := rcu.Apply(retryBudgets.cells.Of(service, retry.Budget{}), func(budget retry.Budget) (retry.Budget, bool) {
		return budget.WithFloor(floor).WithSpend(now)
	})
	return ok
}
