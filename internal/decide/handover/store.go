package handover

import (
	"slices"
	"time"
)

const (
	// HoldTime is how long a peer holds a state. Callers are told to repeat after
	// a second, and entries look for states of a leaving entry until it is taken
	// for gone, at least 20 s after its end.
	HoldTime = 30 * time.Second
	// MaxBytes bounds the states that one entry holds, a quarter of the 64 MB for
	// control. A state has about 20 KB after 500 tokens in chunks of 4, so this is
	// about 800 completions.
	MaxBytes = 16 << 20
)

// Verdict says what came of an attempt to hold or to take up a state.
type Verdict string

// The verdicts.
const (
	VerdictHeld    Verdict = "Held"
	VerdictFull    Verdict = "Full"
	VerdictLeaving Verdict = "Leaving"
	VerdictTaken   Verdict = "Taken"
	VerdictMissing Verdict = "Missing"
	// VerdictOtherAccount is for a state of another client account.
	VerdictOtherAccount Verdict = "OtherAccount"
	// VerdictOtherBody is for a repeat that differs from the request.
	VerdictOtherBody Verdict = "OtherBody"
	// VerdictNoBoundary is for a repeat that states a place at which no chunk ended.
	VerdictNoBoundary Verdict = "NoBoundary"
)

// Query asks for the state of a repeated request.
type Query struct {
	ID       string
	Account  string
	BodyHash string
	// Received is the number of answer tokens that the caller has, 0 for none.
	Received int
}

// Store is the states that an entry holds for others; the zero value holds none.
//
// A change copies the map, which is small, and is made once per handover.
type Store struct {
	states map[string][]held
	bytes  int
}

// held is a state and when it is dropped.
type held struct {
	state   State
	expires time.Time
}

// WithState returns the store that holds a state until [HoldTime] has passed, or without it when there is no room.
//
// A newer state of the same request replaces the older one.
func (store Store) WithState(state State, now time.Time) (Store, Verdict) {
	next := store.WithoutExpired(now).without(func(other held) bool {
		return other.state.ID == state.ID && other.state.Account == state.Account
	})
	if next.bytes+state.Bytes() > MaxBytes {
		return store, VerdictFull
	}
	next.states[state.ID] = append(slices.Clip(next.states[state.ID]), held{state: state, expires: now.Add(HoldTime)})
	next.bytes += state.Bytes()
	return next, VerdictHeld
}

// WithTaken returns the store without the state that a query may have, and that state.
//
// A refused query leaves the state where it is.
func (store Store) WithTaken(query Query, now time.Time) (Store, State, Verdict) {
	verdict := VerdictMissing
	for _, kept := range store.states[query.ID] {
		if !now.Before(kept.expires) {
			continue
		}
		verdict = query.verdict(kept.state)
		if verdict == VerdictOtherAccount {
			continue
		}
		if verdict != VerdictTaken {
			return store, State{}, verdict
		}
		next := store.without(func(other held) bool { return other.state.ID == query.ID && other.state.Account == query.Account })
		return next, kept.state, verdict
	}
	return store, State{}, verdict
}

// WithoutExpired returns the store without the states whose time has passed.
func (store Store) WithoutExpired(now time.Time) Store {
	return store.without(func(held held) bool { return !now.Before(held.expires) })
}

// States returns all states that are held, in no particular order.
func (store Store) States() []State {
	var states []State
	for _, list := range store.states {
		for _, held := range list {
			states = append(states, held.state)
		}
	}
	return states
}

// Bytes returns the memory that the states take, in bytes.
func (store Store) Bytes() int { return store.bytes }

func (query Query) verdict(state State) Verdict {
	if state.Account != query.Account {
		return VerdictOtherAccount
	}
	if state.BodyHash != query.BodyHash {
		return VerdictOtherBody
	}
	if _, ok := state.ChunksAfter(query.Received); !ok {
		return VerdictNoBoundary
	}
	return VerdictTaken
}

// without returns the store without the states that drop selects.
func (store Store) without(drop func(held) bool) Store {
	next := Store{states: map[string][]held{}}
	for id, list := range store.states {
		for _, held := range list {
			if !drop(held) {
				next.states[id] = append(next.states[id], held)
				next.bytes += held.state.Bytes()
			}
		}
	}
	return next
}
