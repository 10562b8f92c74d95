package engine

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/order"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/strictjson"
)

// Paths of the interface for orders.
const (
	OrdersPath = "/orders"
	StatePath  = "/orders/state"
)

// orderMessage is the JSON body of an order.
type orderMessage struct {
	Fencing int64
	Kind    order.Kind
	Model   string     `json:",omitempty"`
	Adapter string     `json:",omitempty"`
	Version string     `json:",omitempty"`
	Role    order.Role `json:",omitempty"`
}

// stateMessage is the JSON body of an engine's state.
type stateMessage struct {
	Fencing int64 `json:",omitempty"`
	Role    order.Role
	Weights []weightsMessage
}

// weightsMessage is the version that a server has of one model, or of one adapter of the model.
type weightsMessage struct {
	Model   string
	Adapter string `json:",omitempty"`
	Version string
	Ready   bool
}

// staleMessage is the JSON body that rejects an order because of its fencing number.
type staleMessage struct {
	// Fencing is the higher number that was accepted before.
	Fencing int64
}

// EncodeOrder returns the JSON body of an order with its fencing number.
func EncodeOrder(fencingNumber int64, newOrder order.Order) ([]byte, error) {
	return json.Marshal(orderMessage{
		Fencing: fencingNumber, Kind: newOrder.Kind, Model: newOrder.WeightsKey.Model, Adapter: newOrder.WeightsKey.Adapter, Version: newOrder.Version, Role: newOrder.Role,
	})
}

// DecodeOrder returns the fencing number and the order in a JSON body; the error reports the malformed field.
func DecodeOrder(body []byte) (int64, order.Order, error) {
	var message orderMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return 0, order.Order{}, fmt.Errorf("body: %w", err)
	}
	decoded := order.Order{
		Kind: message.Kind, WeightsKey: order.WeightsKey{Model: message.Model, Adapter: message.Adapter}, Version: message.Version, Role: message.Role,
	}
	if known := []order.Kind{order.KindLoad, order.KindUnload, order.KindRole}; !slices.Contains(known, decoded.Kind) {
		return 0, order.Order{}, fmt.Errorf("kind: unknown value %q", decoded.Kind)
	}
	if decoded.Kind != order.KindRole && decoded.WeightsKey.Model == "" {
		return 0, order.Order{}, fmt.Errorf("model: missing")
	}
	return message.Fencing, decoded, nil
}

// EncodeStaleRejection returns the JSON body that rejects an order, with the higher fencing number accepted before.
func EncodeStaleRejection(accepted int64) ([]byte, error) {
	return json.Marshal(staleMessage{accepted})
}

// EncodeState returns the JSON body of an engine's state.
func EncodeState(state order.ServerState) ([]byte, error) {
	message := stateMessage{Fencing: state.FencingNumber, Role: state.Role}
	for _, weights := range state.Weights {
		message.Weights = append(message.Weights, weightsMessage{weights.Model, weights.Adapter, weights.Version, weights.Ready})
	}
	return json.Marshal(message)
}

// DecodeState decodes the JSON body of an engine's state and sorts its weights.
//
// A body without a role is no state. It would look like that of an engine that has lost its weights and ignores fencing numbers.
func DecodeState(body []byte) (order.ServerState, error) {
	var message stateMessage
	if err := strictjson.Decode(body, &message); err != nil {
		return order.ServerState{}, fmt.Errorf("body: %w", err)
	}
	if known := []order.Role{order.RoleBoth, order.RolePrefill, order.RoleDecode}; !slices.Contains(known, message.Role) {
		return order.ServerState{}, fmt.Errorf("role: unknown value %q", message.Role)
	}
	if message.Fencing < 0 {
		return order.ServerState{}, fmt.Errorf("fencing: %d is less than 0", message.Fencing)
	}
	state := order.ServerState{FencingNumber: message.Fencing, Role: message.Role}
	for _, weights := range message.Weights {
		key := order.WeightsKey{Model: weights.Model, Adapter: weights.Adapter}
		if _, repeated := state.Version(key); repeated || key.Model == "" {
			return order.ServerState{}, fmt.Errorf("weights: model %q, adapter %q: no model or repeated", key.Model, key.Adapter)
		}
		state.Weights = append(state.Weights, order.Weights{WeightsKey: key, Version: weights.Version, Ready: weights.Ready})
	}
	return state.WithSortedWeights(), nil
}
