package handover

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
)

// Holder stores the states that an entry holds for leaving peers. It is safe for concurrent use.
type Holder struct {
	state *rcu.Cell[holderState]
}

// holderState is the stored states, and whether the holder refuses further ones.
type holderState struct {
	store  handover.Store
	closed bool
}

func newHolder() *Holder {
	return &Holder{state: rcu.New(holderState{})}
}

// Hold stores a state for [handover.HoldTime] and returns [handover.VerdictHeld], or
// returns the reason why the state is not stored.
func (holder *Holder) Hold(state handover.State) handover.Verdict {
	now := time.Now()
	_, verdict := rcu.Apply(holder.state, func(current holderState) (holderState, handover.Verdict) {
		if current.closed {
			return current, handover.VerdictLeaving
		}
		var verdict handover.Verdict
		current.store, verdict = current.store.WithState(state, now)
		return current, verdict
	})
	if verdict == handover.VerdictHeld {
		// The timer frees the memory if no later call removes the expired state.
		time.AfterFunc(handover.HoldTime, holder.expire)
	}
	return verdict
}

// Take removes the state that matches the query and returns it with
// [handover.VerdictTaken], or returns the reason why there is none.
func (holder *Holder) Take(query handover.Query) (handover.State, handover.Verdict) {
	type takeResult struct {
		state   handover.State
		verdict handover.Verdict
	}
	now := time.Now()
	_, result := rcu.Apply(holder.state, func(current holderState) (holderState, takeResult) {
		var result takeResult
		current.store, result.state, result.verdict = current.store.WithTaken(query, now)
		return current, result
	})
	return result.state, result.verdict
}

// Bytes returns the estimated memory of the states in bytes.
func (holder *Holder) Bytes() int { return holder.state.Load().store.Bytes() }

func (holder *Holder) empty() bool { return holder.Bytes() == 0 }

func (holder *Holder) expire() {
	now := time.Now()
	holder.state.Update(func(current holderState) holderState {
		current.store = current.store.WithoutExpired(now)
		return current
	})
}

// close makes the holder refuse further states, and removes and returns the held ones.
func (holder *Holder) close() []handover.State {
	_, states := rcu.Apply(holder.state, func(current holderState) (holderState, []handover.State) {
		return holderState{closed: true}, current.store.States()
	})
	return states
}
