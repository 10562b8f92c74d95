package order

import (
	"cmp"
	"slices"
)

// ServerState is the state that a backend server reports.
type ServerState struct {
	// FencingNumber is the highest fencing number that the server has accepted, 0 if it ignores them.
	FencingNumber int64
	Role          Role
	// Weights are sorted by key.
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

// WeightsKey identifies the model, or the adapter of a model, whose weights a backend server holds.
type WeightsKey struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// Weights is a version of weights that a backend server holds or is loading.
type Weights struct {
	WeightsKey
	Version string
	// Ready is false while the weights are being loaded.
	Ready bool
}

// WithOrder returns the state after the server has carried out an order.
func (serverState ServerState) WithOrder(order Order) ServerState {
	index, found := slices.BinarySearchFunc(serverState.Weights, order.WeightsKey, func(weights Weights, key WeightsKey) int { return weights.WeightsKey.compare(key) })
	switch order.Kind {
	case KindRole:
		serverState.Role = order.Role
	case KindUnload:
		if found {
			serverState.Weights = slices.Delete(slices.Clone(serverState.Weights), index, index+1)
		}
	case KindLoad:
		loaded := Weights{WeightsKey: order.WeightsKey, Version: order.Version, Ready: true}
		serverState.Weights = slices.Clone(serverState.Weights)
		if found {
			serverState.Weights[index] = loaded
			break
		}
		serverState.Weights = slices.Insert(serverState.Weights, index, loaded)
	}
	return serverState
}

// WithFencing returns the state after the server has accepted a fencing number.
func (serverState ServerState) WithFencing(number int64) ServerState {
	serverState.FencingNumber = max(serverState.FencingNumber, number)
	return serverState
}

// WithReady returns the state with the readiness of the weights with the given key set.
func (serverState ServerState) WithReady(key WeightsKey, ready bool) ServerState {
	serverState.Weights = slices.Clone(serverState.Weights)
	for i := range serverState.Weights {
		if serverState.Weights[i].WeightsKey == key {
			serverState.Weights[i].Ready = ready
		}
	}
	return serverState
}

// WithSortedWeights returns the state with its weights sorted by key, for servers that list them unsorted.
func (serverState ServerState) WithSortedWeights() ServerState {
	serverState.Weights = slices.SortedFunc(slices.Values(serverState.Weights), func(a, b Weights) int { return a.WeightsKey.compare(b.WeightsKey) })
	return serverState
}

// Version returns the version of the weights with the given key, or false if the server does not hold them.
func (serverState ServerState) Version(key WeightsKey) (string, bool) {
	for _, weights := range serverState.Weights {
		if weights.WeightsKey == key {
			return weights.Version, true
		}
	}
	return "", false
}

// Meets reports whether the state equals the desired one and all weights are ready.
func (serverState ServerState) Meets(desired Desired) bool {
	if _, _, ok := nextOrder(desired, serverState); ok {
		return false
	}
	return !slices.ContainsFunc(serverState.Weights, func(weights Weights) bool { return !weights.Ready })
}

// nextOrder returns the next order towards the desired state and the weights that it
// loads, or false if the state needs no order.
//
// Unloading comes first because it frees memory, and the role last because it
// attracts requests that need the weights. In the order of keys, adapters are
// loaded after their model and unloaded before it.
func nextOrder(desired Desired, state ServerState) (Order, DesiredWeights, bool) {
	for _, weights := range slices.Backward(state.Weights) {
		if !slices.ContainsFunc(desired.Weights, func(want DesiredWeights) bool { return want.WeightsKey == weights.WeightsKey }) {
			return Order{Kind: KindUnload, WeightsKey: weights.WeightsKey}, DesiredWeights{}, true
		}
	}
	for _, want := range slices.SortedFunc(slices.Values(desired.Weights), func(a, b DesiredWeights) int { return a.WeightsKey.compare(b.WeightsKey) }) {
		if version, ok := state.Version(want.WeightsKey); !ok || version != want.Version {
			return Order{Kind: KindLoad, WeightsKey: want.WeightsKey, Version: want.Version}, want, true
		}
	}
	if desired.Role != "" && desired.Role != state.Role {
		return Order{Kind: KindRole, Role: desired.Role}, DesiredWeights{}, true
	}
	return Order{}, DesiredWeights{}, false
}

// compare orders keys by model and then adapter, so that a model comes before its adapters.
func (weightsKey WeightsKey) compare(other WeightsKey) int {
	return cmp.Or(cmp.Compare(weightsKey.Model, other.Model), cmp.Compare(weightsKey.Adapter, other.Adapter))
}
