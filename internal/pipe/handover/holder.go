package handover

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
)

// Holder is what an entry holds for callers of entries that left.
type Holder struct {
	state *rcu.Cell[holding]
}

// holding is the states, and whether more are taken in.
type holding struct {
	store  handover.Store
	closed bool
}

func newHolder() *Holder {
	return &Holder{state: rcu.New(holding{})}
}

// Hold keeps a state for its time, or reports why not.
func (holder *Holder) Hold(state handover.State) handover.Verdict {
	now := time.Now()
	_, verdict := rcu.Apply(holder.state, func(current holding) (holding, handover.Verdict) {
		if current.closed {
			return current, handover.VerdictLeaving
		}
		var verdict handover.Verdict
		current.store, verdict = current.store.WithState(state, now)
		return current, verdict
	})
	if verdict == handover.VerdictHeld {
		// The timer frees the memory when no later state comes to do so.
		time.AfterFunc(handover.HoldTime, holder.expire)
	}
	return verdict
}

// Take gives a state out once.
func (holder *Holder) Take(query handover.Query) (handover.State, handover.Verdict) {
	type taken struct {
		state   handover.State
		verdict handover.Verdict
	}
	now := time.Now()
	_, result := rcu.Apply(holder.state, func(current holding) (holding, taken) {
		var result taken
		current.store, result.state, result.verdict = current.store.WithTaken(query, now)
		return current, result
	})
	return result.state, result.verdict
}

// Bytes returns the memory of the states, in bytes.
func (holder *Holder) Bytes() int { return holder.state.Load().store.Bytes() }

func (holder *Holder) empty() bool { return holder.Bytes() == 0 }

func (holder *Holder) expire() {
	now := time.Now()
	holder.state.Update(func(current holding) holding {
		current.store = current.store.WithoutExpired(now)
		return current
	})
}

// close takes no more states and returns those that were held.
func (holder *Holder) close() []handover.State {
	_, states := rcu.Apply(holder.state, func(current holding) (holding, []handover.State) {
		return holding{closed: true}, current.store.States()
	})
	return states
}
