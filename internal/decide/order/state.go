package order

import (
	"cmp"
	"slices"
)

// ServerState is what a backend server says of itself.
type ServerState struct {
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
func (serverState ServerState) WithOrder(order Order) ServerState {
	at, found := slices.BinarySearchFunc(serverState.Weights, order.Slot, func(weights Weights, slot Slot) int { return weights.Slot.compare(slot) })
	switch order.Kind {
	case KindRole:
		serverState.Role = order.Role
	case KindUnload:
		if found {
			serverState.Weights = slices.Delete(slices.Clone(serverState.Weights), at, at+1)
		}
	case KindLoad:
		loaded := Weights{Slot: order.Slot, Version: order.Version, Ready: true}
		serverState.Weights = slices.Clone(serverState.Weights)
		if found {
			serverState.Weights[at] = loaded
			break
		}
		serverState.Weights = slices.Insert(serverState.Weights, at, loaded)
	}
	return serverState
}

// WithFencing returns the state of a server that has accepted a fencing number.
func (serverState ServerState) WithFencing(number int64) ServerState {
	serverState.Fencing = max(serverState.Fencing, number)
	return serverState
}

// WithReady returns the state in which the weights of a slot are ready or not.
func (serverState ServerState) WithReady(slot Slot, ready bool) ServerState {
	serverState.Weights = slices.Clone(serverState.Weights)
	for i := range serverState.Weights {
		if serverState.Weights[i].Slot == slot {
			serverState.Weights[i].Ready = ready
		}
	}
	return serverState
}

// WithSortedWeights returns the state of a server that lists its weights in another order.
func (serverState ServerState) WithSortedWeights() ServerState {
	serverState.Weights = slices.SortedFunc(slices.Values(serverState.Weights), func(a, b Weights) int { return a.Slot.compare(b.Slot) })
	return serverState
}

// Version returns the version in a slot, or false for an empty slot.
func (serverState ServerState) Version(slot Slot) (string, bool) {
	for _, weights := range serverState.Weights {
		if weights.Slot == slot {
			return weights.Version, true
		}
	}
	return "", false
}

// Meets reports whether the state is as desired and all weights are ready.
func (serverState ServerState) Meets(desired Desired) bool {
	if _, _, ok := difference(desired, serverState); ok {
		return false
	}
	return !slices.ContainsFunc(serverState.Weights, func(weights Weights) bool { return !weights.Ready })
}

// difference returns the first order that the state lacks, and what it loads.
//
// Unloading comes first, since it makes room, and the role last, since it
// draws the work that needs the weights. Adapters follow their model in the
// order of slots, and go before it when they are unloaded.
func difference(desired Desired, state ServerState) (Order, DesiredWeights, bool) {
	for _, weights := range slices.Backward(state.Weights) {
		if !slices.ContainsFunc(desired.Weights, func(want DesiredWeights) bool { return want.Slot == weights.Slot }) {
			return Order{Kind: KindUnload, Slot: weights.Slot}, DesiredWeights{}, true
		}
	}
	for _, want := range slices.SortedFunc(slices.Values(desired.Weights), func(a, b DesiredWeights) int { return a.Slot.compare(b.Slot) }) {
		if version, ok := state.Version(want.Slot); !ok || version != want.Version {
			return Order{Kind: KindLoad, Slot: want.Slot, Version: want.Version}, want, true
		}
	}
	if desired.Role != "" && desired.Role != state.Role {
		return Order{Kind: KindRole, Role: desired.Role}, DesiredWeights{}, true
	}
	return Order{}, DesiredWeights{}, false
}

func (slot Slot) compare(other Slot) int {
	return cmp.Or(cmp.Compare(slot.Model, other.Model), cmp.Compare(slot.Adapter, other.Adapter))
}
