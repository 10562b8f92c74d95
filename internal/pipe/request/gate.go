package request

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepGate names the gate in decisions and errors.
const StepGate = "gate"

// Gate counts the requests in progress and refuses new ones once it is closed.
type Gate struct {
	state *rcu.Cell[gateState]
	empty chan struct{}
}

type gateState struct {
	inProgress int
	closed     bool
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{state: rcu.New(gateState{}), empty: make(chan struct{})}
}

// Filter lets requests pass while the gate is open.
func (gate *Gate) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if !gate.enter() {
				return exchange, call.Refuse(call.ReasonStopping, "this entry is stopping; another one will answer").WithRetryAfter(time.Second)
			}
			defer gate.leave()
			return next.Handle(ctx, exchange)
		})
	}
}

// InProgress returns the number of requests that passed and have not ended.
func (gate *Gate) InProgress() int { return gate.state.Load().inProgress }

// Close refuses requests from now on and returns a channel that closes when none is in progress.
func (gate *Gate) Close() <-chan struct{} {
	gate.update(func(state gateState) gateState {
		state.closed = true
		return state
	})
	return gate.empty
}

func (gate *Gate) enter() bool {
	_, entered := rcu.Apply(gate.state, func(state gateState) (gateState, bool) {
		if state.closed {
			return state, false
		}
		return gateState{inProgress: state.inProgress + 1}, true
	})
	return entered
}

func (gate *Gate) leave() {
	gate.update(func(state gateState) gateState {
		state.inProgress--
		return state
	})
}

// update stores the next state; the one step that leads to closed and empty closes the channel.
func (gate *Gate) update(change func(gateState) gateState) {
	_, ended := rcu.Apply(gate.state, func(state gateState) (gateState, bool) {
		next := change(state)
		ends := next.closed && next.inProgress == 0
		ended := state.closed && state.inProgress == 0
		return next, ends && !ended
	})
	if ended {
		close(gate.empty)
	}
}
