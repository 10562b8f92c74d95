package runner

import (
	"context"
	"errors"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

var errEnded = errors.New("ended while waiting for a slot")

// slots hands out a fixed number of slots by priority, then in order of arrival.
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

// acquire waits for a slot; a lower priority value goes first.
func (slots *slots) acquire(ctx context.Context, ended <-chan struct{}, priority int) error {
	self := &waiter{priority: priority, granted: make(chan struct{})}
	_, taken := rcu.Apply(slots.state, func(state slotState) (slotState, bool) {
		if state.free > 0 {
			return slotState{free: state.free - 1, total: state.total, queue: state.queue}, true
		}
		at, _ := slices.BinarySearchFunc(state.queue, priority+1, func(other *waiter, bound int) int {
			return other.priority - bound
		})
		return slotState{total: state.total, queue: slices.Insert(slices.Clone(state.queue), at, self)}, false
	})
	if taken {
		return nil
	}
	select {
	case <-self.granted:
		return nil
	case <-ended:
	case <-ctx.Done():
	}
	slots.leave(self)
	return errEnded
}

// leave takes a waiter out of the queue, or gives back the slot that it was granted meanwhile.
func (slots *slots) leave(self *waiter) {
	_, removed := rcu.Apply(slots.state, func(state slotState) (slotState, bool) {
		at := slices.Index(state.queue, self)
		if at < 0 {
			return state, false
		}
		return slotState{free: state.free, total: state.total, queue: slices.Delete(slices.Clone(state.queue), at, at+1)}, true
	})
	if !removed {
		slots.release()
	}
}

// release gives a slot to the first waiter or makes it free.
func (slots *slots) release() {
	_, next := rcu.Apply(slots.state, func(state slotState) (slotState, *waiter) {
		if len(state.queue) == 0 {
			return slotState{free: state.free + 1, total: state.total}, nil
		}
		return slotState{free: state.free, total: state.total, queue: slices.Clone(state.queue[1:])}, state.queue[0]
	})
	if next != nil {
		close(next.granted)
	}
}
