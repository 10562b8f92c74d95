package request

import (
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// RetryStates keeps the retry state of each service, which the retry, hedge and relay filters share.
type RetryStates struct {
	states *rcu.Cell[map[string]*rcu.Cell[retry.State]]
}

// NewRetryStates returns a recovery that has learned nothing.
func NewRetryStates() *RetryStates {
	return &RetryStates{states: rcu.New(map[string]*rcu.Cell[retry.State]{})}
}

// State returns what is known of a service.
func (retryStates *RetryStates) State(service string) retry.State {
	return retryStates.cell(service).Load()
}

// hedge spends one hedge of the service's budget, or reports that none is left.
func (retryStates *RetryStates) hedge(service string) bool {
	now := time.Now()
	_, ok := rcu.Apply(retryStates.cell(service), func(state retry.State) (retry.State, bool) { return state.WithHedge(now) })
	return ok
}

// allows reports whether the service's budget has a retry left, without which
// work is not given up: its replacement could not start.
func (retryStates *RetryStates) allows(service string) bool {
	return retryStates.State(service).Budget.Allows(time.Now())
}

// cell returns the cell of a service; services come from the validated configuration, so they are few.
func (retryStates *RetryStates) cell(service string) *rcu.Cell[retry.State] {
	if cell, ok := retryStates.states.Load()[service]; ok {
		return cell
	}
	fresh := rcu.New(retry.State{})
	states := retryStates.states.Update(func(states map[string]*rcu.Cell[retry.State]) map[string]*rcu.Cell[retry.State] {
		if _, ok := states[service]; ok {
			return states
		}
		next := maps.Clone(states)
		next[service] = fresh
		return next
	})
	return states[service]
}
