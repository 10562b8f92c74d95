package order

import (
	"cmp"
	"slices"
)

// ServerState is the state that a backend server reports.
type State struct {
	// Fencing is the highest fencing number that the server has accepted, 0 if it ignores them.
	Fencing int64
	Role    Role
	// Weights are sorted by slot.
	Weights []Weights
}

// Role is the part of inference that a backend server performs.
type Role string

// The roles of backend servers.
const (
	RoleBoth    Role = "Both"
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
)

// Slot identifies the model, or the adapter of a model, whose weights a backend server holds.
type Slot struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// Weights is a version of weights that a backend server holds or is loading.
type Weights struct {
	Slot
	Version string
	// Ready is false while the weights are being loaded.
	Ready bool
}

// WithOrder returns the state after the server has carried out an order.
func (state State) WithOrder(order Order) State {
	index, found := slices.BinarySearchFunc(state.Weights, order.Slot, func(weights Weights, slot Slot) int { return weights.Slot.compare(slot) })
	switch order.Kind {
	case KindRole:
		state.Role = order.Role
	case KindUnload:
		if found {
			state.Weights = slices.Delete(slices.Clone(state.Weights), index, index+1)
		}
	case KindLoad:
		loaded := Weights{Slot: order.Slot, Version: order.Version, Ready: true}
		state.Weights = slices.Clone(state.Weights)
		if found {
			state.Weights[index] = loaded
			break
		}
		state.Weights = slices.Insert(state.Weights, index, loaded)
	}
	return state
}

// WithFencing returns the state after the server has accepted a fencing number.
func (state State) WithFencing(number int64) State {
	state.Fencing = max(state.Fencing, number)
	return state
}

// WithReady returns the state with the readiness of the weights in a slot set.
func (state State) WithReady(slot Slot, ready bool) State {
	state.Weights = slices.Clone(state.Weights)
	for i := range state.Weights {
		if state.Weights[i].Slot == slot {
			state.Weights[i].Ready = ready
		}
	}
	return state
}

// WithSortedWeights returns the state with its weights sorted by slot, for servers that list them unsorted.
func (state State) WithSortedWeights() State {
	state.Weights = slices.SortedFunc(slices.Values(state.Weights), func(a, b Weights) int { return a.Slot.compare(b.Slot) })
	return state
}

// Version returns the version of the weights in a slot, or false if the slot is empty.
func (state State) Version(slot Slot) (string, bool) {
	for _, weights := range state.Weights {
		if weights.Slot == slot {
			return weights.Version, true
		}
	}
	return "", false
}

// Meets reports whether the state equals the desired one and all weights are ready.
func (state State) Meets(desired Desired) bool {
	if _, _, ok := nextOrder(desired, state); ok {
		return false
	}
	return !slices.ContainsFunc(state.Weights, func(weights Weights) bool { return !weights.Ready })
}

// nextOrder returns the next order towards the desired state and the weights that it
// loads, or false if the state needs no order.
//
// Unloading comes first because it frees memory, and the role last because it
// attracts requests that need the weights. In the order of slots, adapters are
// loaded after their model and unloaded before it.
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
