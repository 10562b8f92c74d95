package handover

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
)

// Holder stores the states that an entry holds for leaving peers. It is safe for concurrent use.
type Holder struct {
	state *rcu.Cell[holderState]
}

// holderState is the stored states, and whether the holder refuses further ones.
type holderState struct {
	store  decide.Store
	closed bool
}

func newHolder() *Holder {
	return &Holder{state: rcu.New(holderState{})}
}

// Hold stores a state for [decide.HoldTime] and returns [decide.VerdictHeld], or
// returns the reason why the state is not stored.
func (holder *Holder) Hold(state decide.State) decide.Verdict {
	now := time.Now()
	_, verdict := rcu.Apply(holder.state, func(current holderState) (holderState, decide.Verdict) {
		if current.closed {
			return current, decide.VerdictLeaving
		}
		var verdict decide.Verdict
		current.store, verdict = current.store.WithState(state, now)
		return current, verdict
	})
	if verdict == decide.VerdictHeld {
		// The timer frees the memory if no later call removes the expired state.
		time.AfterFunc(decide.HoldTime, holder.expire)
	}
	return verdict
}

// Take removes the state that matches the query and returns it with
// [decide.VerdictTaken], or returns the reason why there is none.
func (holder *Holder) Take(query decide.Query) (decide.State, decide.Verdict) {
	type takeResult struct {
		state   decide.State
		verdict decide.Verdict
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
func (holder *Holder) close() []decide.State {
	_, states := rcu.Apply(holder.state, func(current holderState) (holderState, []decide.State) {
		return holderState{closed: true}, current.store.States()
	})
	return states
}
