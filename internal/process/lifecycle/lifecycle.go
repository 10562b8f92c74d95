package lifecycle

import (
	"context"
	"errors"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// State is a state in the lifecycle of an entry.
type State string

// The states of an entry.
const (
	StateStarting State = "Starting"
	StateReady    State = "Ready"
	// StateLeaving is unready, but still accepts requests.
	StateLeaving State = "Leaving"
	// StateDraining refuses new requests and finishes the accepted ones.
	StateDraining State = "Draining"
	StateStopped  State = "Stopped"
)

type trigger string

const (
	triggerLoaded  trigger = "Loaded"
	triggerStop    trigger = "Stop"
	triggerRefuse  trigger = "Refuse"
	triggerDrained trigger = "Drained"
)

// Lifecycle is the lifecycle of one entry process.
type Lifecycle struct {
	state   *rcu.Cell[State]
	machine *stateless.StateMachine
}

// New returns the lifecycle of an entry that is starting.
func New() *Lifecycle {
	lifecycle := &Lifecycle{state: rcu.New(StateStarting)}
	lifecycle.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return lifecycle.state.Load(), nil },
		func(_ context.Context, next stateless.State) error {
			lifecycle.state.Store(next.(State))
			return nil
		},
		stateless.FiringQueued,
	)
	lifecycle.machine.Configure(StateStarting).Permit(triggerLoaded, StateReady).Permit(triggerStop, StateLeaving)
	lifecycle.machine.Configure(StateReady).Ignore(triggerLoaded).Permit(triggerStop, StateLeaving)
	lifecycle.machine.Configure(StateLeaving).Ignore(triggerLoaded).Ignore(triggerStop).Permit(triggerRefuse, StateDraining)
	lifecycle.machine.Configure(StateDraining).Ignore(triggerLoaded).Ignore(triggerStop).Permit(triggerDrained, StateStopped)
	lifecycle.machine.Configure(StateStopped).Ignore(triggerLoaded).Ignore(triggerStop)
	return lifecycle
}

// State returns the current state.
func (lifecycle *Lifecycle) State() State { return lifecycle.state.Load() }

// Ready reports whether the balancer should send requests.
func (lifecycle *Lifecycle) Ready() bool { return lifecycle.State() == StateReady }

// SetReady makes a starting entry ready. The entry calls it once it has a configuration; in a later state it has
// no effect.
func (lifecycle *Lifecycle) SetReady() error { return lifecycle.machine.Fire(triggerLoaded) }

// Gate admits requests until it is closed.
type Gate interface {
	// Close makes the gate refuse new requests. The returned channel is closed when the accepted ones have ended.
	Close() <-chan struct{}
}

// Stop takes a starting or ready entry to stopped.
//
// It makes the entry unready, closes the gate after delay, and then waits at most
// timeout for the accepted requests to end. It reports whether all of them ended. If ctx ends during a wait, Stop
// returns its error.
func (lifecycle *Lifecycle) Stop(ctx context.Context, gate Gate, delay, timeout time.Duration) (bool, error) {
	if err := lifecycle.machine.FireCtx(ctx, triggerStop); err != nil {
		return false, err
	}
	if _, err := wait(ctx, nil, delay); err != nil {
		return false, err
	}
	if err := lifecycle.machine.FireCtx(ctx, triggerRefuse); err != nil {
		return false, err
	}
	finished, err := wait(ctx, gate.Close(), timeout)
	return finished, errors.Join(err, lifecycle.machine.FireCtx(ctx, triggerDrained))
}

// wait reports whether ended was closed within the duration. It returns the error of ctx if that ends before.
func wait(ctx context.Context, ended <-chan struct{}, duration time.Duration) (bool, error) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false, nil
	case <-ended:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}
