package forward

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// Budgets bounds the repeats of calls by service.
type Budgets struct {
	// floor is the number of repeats that this entry may send in a quiet time.
	floor *rcu.Cell[float64]
	cells rcu.Cells[string, retry.Budget]
}

// NewBudgets returns budgets with nothing spent, and that many repeats for a service without calls.
func NewBudgets(floor float64) *Budgets {
	return &Budgets{floor: rcu.New(floor), cells: rcu.NewCells[string, retry.Budget]()}
}

// SetFloor changes the number of repeats for a service without calls, when the number of entries changes.
func (budgets *Budgets) SetFloor(floor float64) { budgets.floor.Store(floor) }

// Count notes a call to a service, which earns a part of a repeat.
func (budgets *Budgets) Count(service string) {
	now := time.Now()
	budgets.cells.Of(service, retry.Budget{}).Update(func(budget retry.Budget) retry.Budget { return budget.WithSuccess(now) })
}

// Spend takes one repeat, or reports that none is left.
func (budgets *Budgets) Spend(service string) bool {
	now, floor := time.Now(), budgets.floor.Load()
	_, ok := rcu.Apply(budgets.cells.Of(service, retry.Budget{}), func(budget retry.Budget) (retry.Budget, bool) {
		return budget.WithFloor(floor).WithSpend(now)
	})
	return ok
}
