package handover

import (
	"slices"
	"time"
)

const (
	// HoldTime is the time for which a peer holds a state. Callers are asked to repeat
	// after a second, and entries query peers for the states of a leaving entry until
	// they consider it gone, at least 20 s after it has ended.
	HoldTime = 30 * time.Second
	// MaxBytes is the maximum size of the states that one entry holds, a quarter of the
	// 64 MB reserved for control data. A state takes about 20 KB after 500 tokens in
	// chunks of 4, so the limit allows about 800 completions.
	MaxBytes = 16 << 20
)

// Verdict is the result of storing a state ([Store.WithState]) or of taking one ([Store.WithTaken]).
type Verdict string

// The verdicts on storing and taking a state.
const (
	VerdictHeld    Verdict = "Held"
	VerdictFull    Verdict = "Full"
	VerdictLeaving Verdict = "Leaving"
	VerdictTaken   Verdict = "Taken"
	VerdictMissing Verdict = "Missing"
	// VerdictOtherAccount means that the state belongs to another client account.
	VerdictOtherAccount Verdict = "OtherAccount"
	// VerdictOtherBody means that the body of the repeat differs from that of the request.
	VerdictOtherBody Verdict = "OtherBody"
	// VerdictNoBoundary means that no chunk ends at the number of tokens that the repeat reports as received.
	VerdictNoBoundary Verdict = "NoBoundary"
)

// Query identifies the state that a repeated request needs.
type Query struct {
	ID       string
	Account  string
	BodyHash string
	// Received is the number of answer tokens that the caller has, 0 for none.
	Received int
}

// Store holds the states that an entry has received from leaving peers; the zero value is empty.
//
// A change copies the map, which is cheap since the map is small and changes once per handover.
type Store struct {
	states map[string][]heldState
	bytes  int
}

// heldState is a state with its expiry time.
type heldState struct {
	state   State
	expires time.Time
}

// WithState returns the store with a state that expires after [HoldTime], or the
// unchanged store and [VerdictFull] if the state would exceed [MaxBytes].
//
// A newer state of the same request and client account replaces the older one.
func (store Store) WithState(state State, now time.Time) (Store, Verdict) {
	next := store.WithoutExpired(now).without(func(held heldState) bool {
		return held.state.ID == state.ID && held.state.Account == state.Account
	})
	if next.bytes+state.Bytes() > MaxBytes {
		return store, VerdictFull
	}
	next.states[state.ID] = append(slices.Clip(next.states[state.ID]), heldState{state: state, expires: now.Add(HoldTime)})
	next.bytes += state.Bytes()
	return next, VerdictHeld
}

// WithTaken returns the store without the state that matches the query, the state, and [VerdictTaken].
//
// If no state may be returned, the store is unchanged and the verdict gives the reason.
func (store Store) WithTaken(query Query, now time.Time) (Store, State, Verdict) {
	verdict := VerdictMissing
	for _, candidate := range store.states[query.ID] {
		if !now.Before(candidate.expires) {
			continue
		}
		verdict = query.verdict(candidate.state)
		if verdict == VerdictOtherAccount {
			continue
		}
		if verdict != VerdictTaken {
			return store, State{}, verdict
		}
		next := store.without(func(held heldState) bool { return held.state.ID == query.ID && held.state.Account == query.Account })
		return next, candidate.state, verdict
	}
	return store, State{}, verdict
}

// WithoutExpired returns the store without the states that have expired.
func (store Store) WithoutExpired(now time.Time) Store {
	return store.without(func(held heldState) bool { return !now.Before(held.expires) })
}

// States returns all states in the store, in no particular order.
func (store Store) States() []State {
	var states []State
	for _, list := range store.states {
		for _, held := range list {
			states = append(states, held.state)
		}
	}
	return states
}

// Bytes returns the estimated memory of the states in bytes.
func (store Store) Bytes() int { return store.bytes }

// verdict returns [VerdictTaken] if the state may be returned to the repeat, or else the reason why not.
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

// without returns the store without the states for which drop returns true.
func (store Store) without(drop func(heldState) bool) Store {
	next := Store{states: map[string][]heldState{}}
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
