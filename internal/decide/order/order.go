package order

import "github.com/rosemaryspar/rosemaryspar/internal/decide/config"

// Order is a command that changes a backend server; orders are idempotent.
type Order struct {
	Kind Kind
	// WeightsKey and Version are set for [KindLoad]; WeightsKey is also set for [KindUnload].
	WeightsKey WeightsKey
	Version    string
	// Role is set for [KindRole].
	Role Role
}

// Kind is the kind of change that an order makes.
type Kind string

// The kinds of orders.
const (
	// KindLoad loads weights and replaces another version with the same key.
	KindLoad   Kind = "Load"
	KindUnload Kind = "Unload"
	KindRole   Kind = "Role"
)

// Outcome is the outcome of an attempt to send an order.
type Outcome string

// The outcomes of orders.
const (
	// OutcomeDone is for orders that the server has confirmed as accepted.
	OutcomeDone Outcome = "Done"
	// OutcomeStale is for orders that the server refused because it has accepted a higher fencing number.
	OutcomeStale Outcome = "Stale"
	// OutcomeNotSent is for orders that certainly take no effect.
	OutcomeNotSent Outcome = "NotSent"
	// OutcomeUnknown is for orders that may have taken effect or may still do so.
	OutcomeUnknown Outcome = "Unknown"
)

// Server is a backend server that accepts orders.
type Server struct {
	Name string
	// Address is the IP address and port.
	Address string
	// Fencing is treated as [config.FencingIgnores] if it is empty.
	Fencing config.Fencing
}

// EnforcesFencing reports whether the server refuses orders whose fencing number is
// lower than the highest one that it has accepted.
func (server Server) EnforcesFencing() bool { return server.Fencing == config.FencingRefuses }

// Target is a backend server with its desired state.
type Target struct {
	Server
	Desired Desired
}

// Desired is the state that a backend server should have.
type Desired struct {
	Role Role
	// Weights lists all weights that the server should hold; others are unloaded.
	Weights []DesiredWeights
}

// DesiredWeights is a version of weights that a backend server should hold.
type DesiredWeights struct {
	WeightsKey
	Version string
	// Bytes is the number of bytes that loading reads from the weight store.
	Bytes int64
	// Priority ranks loads that compete for the weight store; the highest starts first.
	Priority float64
}
