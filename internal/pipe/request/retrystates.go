package request

import (
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// RetryStates holds the retry state of each service, which the filters [Retry], [Hedge]
// and [Relay] share.
type RetryStates struct {
	states *rcu.Cell[map[string]*rcu.Cell[retry.State]]
}

// NewRetryStates returns states without any recorded attempt.
func NewRetryStates() *RetryStates {
	return &RetryStates{states: rcu.New(map[string]*rcu.Cell[retry.State]{})}
}

// State returns the retry state of a service.
func (retryStates *RetryStates) State(service string) retry.State {
	return retryStates.cell(service).Load()
}

// spendHedge takes one hedge from the service's budget, or returns false when none is left.
func (retryStates *RetryStates) spendHedge(service string) bool {
	now := time.Now()
	_, ok := rcu.Apply(retryStates.cell(service), func(state retry.State) (retry.State, bool) { return state.WithHedge(now) })
	return ok
}

// allowsRetry reports whether the service's budget has a retry left. Without one, a slow
// attempt is not cancelled, because its replacement could not start.
func (retryStates *RetryStates) allowsRetry(service string) bool {
	return retryStates.State(service).Budget.Allows(time.Now())
}

// cell returns the state of a service, after creating it for a new one. States are never
// removed: services come from the validated configuration, so they are few.
func (retryStates *RetryStates) cell(service string) *rcu.Cell[retry.State] {
	if cell, ok := retryStates.states.Load()[service]; ok {
		return cell
	}
	newCell := rcu.New(retry.State{})
	states := retryStates.states.Update(func(states map[string]*rcu.Cell[retry.State]) map[string]*rcu.Cell[retry.State] {
		if _, ok := states[service]; ok {
			return states
		}
		next := maps.Clone(states)
		next[service] = newCell
		return next
	})
	return states[service]
}
