package runner

import (
	"context"
	"errors"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

var errNoSlot = errors.New("wait for a slot ended by a crash or by the caller")

// slots is a semaphore whose waiters are served by priority, and in order of arrival within a priority.
type slots struct {
	state *rcu.Cell[slotState]
}

type slotState struct {
	free  int
	total int
	queue []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSlots(total int) *slots {
	return &slots{state: rcu.New(slotState{free: total, total: total})}
}

func (slots *slots) waiting() int { return len(slots.state.Load().queue) }

func (slots *slots) running() int {
	state := slots.state.Load()
	return state.total - state.free
}

// acquire waits for a slot, lower priority values first, until ctx is done or the runner has crashed.
func (slots *slots) acquire(ctx context.Context, crashed <-chan struct{}, priority int) error {
	queued := &waiter{priority: priority, granted: make(chan struct{})}
	_, taken := rcu.Apply(slots.state, func(state slotState) (slotState, bool) {
		if state.free > 0 {
			return slotState{free: state.free - 1, total: state.total, queue: state.queue}, true
		}
		index, _ := slices.BinarySearchFunc(state.queue, priority+1, func(candidate *waiter, limit int) int {
			return candidate.priority - limit
		})
		return slotState{total: state.total, queue: slices.Insert(slices.Clone(state.queue), index, queued)}, false
	})
	if taken {
		return nil
	}
	select {
	case <-queued.granted:
		return nil
	case <-crashed:
	case <-ctx.Done():
	}
	slots.abandon(queued)
	return errNoSlot
}

// abandon removes a waiter from the queue, or releases the slot that it was granted in the meantime.
func (slots *slots) abandon(queued *waiter) {
	_, removed := rcu.Apply(slots.state, func(state slotState) (slotState, bool) {
		index := slices.Index(state.queue, queued)
		if index < 0 {
			return state, false
		}
		return slotState{free: state.free, total: state.total, queue: slices.Delete(slices.Clone(state.queue), index, index+1)}, true
	})
	if !removed {
		slots.release()
	}
}

// release passes a slot on to the first waiter, or frees it when nothing waits.
func (slots *slots) release() {
	_, nextWaiter := rcu.Apply(slots.state, func(state slotState) (slotState, *waiter) {
		if len(state.queue) == 0 {
			return slotState{free: state.free + 1, total: state.total}, nil
		}
		return slotState{free: state.free, total: state.total, queue: slices.Clone(state.queue[1:])}, state.queue[0]
	})
	if nextWaiter != nil {
		close(nextWaiter.granted)
	}
}
