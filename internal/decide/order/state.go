package order

import (
	"cmp"
	"slices"
)

// State is what a backend server says of itself.
type State struct {
	// Fencing is the highest fencing number that it has accepted, 0 if it ignores them.
	Fencing int64
	Role    Role
	// Weights are sorted by slot.
	Weights []Weights
}

// Role says which part of the work a backend server does.
type Role string

// The roles of backend servers.
const (
	RoleBoth    Role = "Both"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Slot is the place of a model, or of an adapter of a model, on a backend server.
type Slot struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// Weights are a version that a backend server holds or is loading.
type Weights struct {
	Slot
	Version string
	// Ready is false while they are loaded.
	Ready bool
}

// WithOrder returns the state of a server that has carried out an order.
func (state State) WithOrder(order Order) State {
	at, found := slices.BinarySearchFunc(state.Weights, order.Slot, func(weights Weights, slot Slot) int { return weights.Slot.compare(slot) })
	switch order.Kind {
	case KindRole:
		state.Role = order.Role
	case KindUnload:
		if found {
			state.Weights = slices.Delete(slices.Clone(state.Weights), at, at+1)
		}
	case KindLoad:
		loaded := Weights{Slot: order.Slot, Version: order.Version, Ready: true}
		state.Weights = slices.Clone(state.Weights)
		if found {
			state.Weights[at] = loaded
			break
		}
		state.Weights = slices.Insert(state.Weights, at, loaded)
	}
	return state
}

// WithFencing returns the state of a server that has accepted a fencing number.
func (state State) WithFencing(number int64) State {
	state.Fencing = max(state.Fencing, number)
	return state
}

// WithReady returns the state in which the weights of a slot are ready or not.
func (state State) WithReady(slot Slot, ready bool) State {
	state.Weights = slices.Clone(state.Weights)
	for i := range state.Weights {
		if state.Weights[i].Slot == slot {
			state.Weights[i].Ready = ready
		}
	}
	return state
}

// WithSortedWeights returns the state of a server that lists its weights in another order.
func (state State) WithSortedWeights() State {
	state.Weights = slices.SortedFunc(slices.Values(state.Weights), func(a, b Weights) int { return a.Slot.compare(b.Slot) })
	return state
}

// Version returns the version in a slot, or false for an empty slot.
func (state State) Version(slot Slot) (string, bool) {
	for _, weights := range state.Weights {
		if weights.Slot == slot {
			return weights.Version, true
		}
	}
	return "", false
}

// Meets reports whether the state is as desired and all weights are ready.
func (state State) Meets(desired Desired) bool {
	if _, _, ok := nextOrder(desired, state); ok {
		return false
	}
	return !slices.ContainsFunc(state.Weights, func(weights Weights) bool { return !weights.Ready })
}

// nextOrder returns the first order that the state lacks, and what it loads.
//
// Unloading comes first, since it makes room, and the role last, since it
// draws the work that needs the weights. Adapters follow their model in the
// order of slots, and go before it when they are unloaded.
func nextOrder(desired Desired, state State) (Order, Want, bool) {
	for _, weights := range slices.Backward(state.Weights) {
		if !slices.ContainsFunc(desired.Weights, func(want Want) bool { return want.Slot == weights.Slot }) {
			return Order{Kind: KindUnload, Slot: weights.Slot}, Want{}, true
		}
	}
	for _, want := range slices.SortedFunc(slices.Values(desired.Weights), func(a, b Want) int { return a.Slot.compare(b.Slot) }) {
		if version, ok := state.Version(want.Slot); !ok || version != want.Version {
			return Order{Kind: KindLoad, Slot: want.Slot, Version: want.Version}, want, true
		}
	}
	if desired.Role != "" && desired.Role != state.Role {
		return Order{Kind: KindRole, Role: desired.Role}, Want{}, true
	}
	return Order{}, Want{}, false
}

func (slot Slot) compare(other Slot) int {
	return cmp.Or(cmp.Compare(slot.Model, other.Model), cmp.Compare(slot.Adapter, other.Adapter))
}
