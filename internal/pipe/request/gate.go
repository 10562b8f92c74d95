package request

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepGate is the step of [Gate] in decisions and errors.
const StepGate = "gate"

// Gate counts the requests in progress and refuses new ones once it is closed, so
// that an entry can drain before it stops.
type Gate struct {
	state *rcu.Cell[gateState]
	// drained is closed when the gate is closed and no request is in progress.
	drained chan struct{}
}

type gateState struct {
	inProgress int
	closed     bool
}

// NewGate returns an open gate.
func NewGate() *Gate {
	return &Gate{state: rcu.New(gateState{}), drained: make(chan struct{})}
}

// Filter admits requests while the gate is open and refuses them with
// [call.ReasonStopping] afterwards.
func (gate *Gate) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			if !gate.admit() {
				return exchange, call.Refuse(call.ReasonStopping, "this entry is stopping; retry at another entry").WithRetryAfter(time.Second)
			}
			defer gate.done()
			return next.Handle(ctx, exchange)
		})
	}
}

// InProgress returns the number of admitted requests that have not ended.
func (gate *Gate) InProgress() int { return gate.state.Load().inProgress }

// Close refuses all further requests, and returns a channel that is closed when no
// request is in progress.
func (gate *Gate) Close() <-chan struct{} {
	gate.update(func(state gateState) gateState {
		state.closed = true
		return state
	})
	return gate.drained
}

func (gate *Gate) admit() bool {
	_, admitted := rcu.Apply(gate.state, func(state gateState) (gateState, bool) {
		if state.closed {
			return state, false
		}
		return gateState{inProgress: state.inProgress + 1}, true
	})
	return admitted
}

func (gate *Gate) done() {
	gate.update(func(state gateState) gateState {
		state.inProgress--
		return state
	})
}

// update stores the next state. Only the update after which the gate is closed and has no
// request in progress for the first time closes the channel drained, so that the channel
// is closed once.
func (gate *Gate) update(change func(gateState) gateState) {
	_, justDrained := rcu.Apply(gate.state, func(state gateState) (gateState, bool) {
		next := change(state)
		isDrained := next.closed && next.inProgress == 0
		wasDrained := state.closed && state.inProgress == 0
		return next, isDrained && !wasDrained
	})
	if justDrained {
		close(gate.drained)
	}
}
