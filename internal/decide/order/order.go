package order

import "github.com/rosemaryspar/rosemaryspar/internal/decide/config"

// Order is one change to a backend server; to carry it out twice is the same as once.
type Order struct {
	Kind Kind
	// Slot and Version are set for [KindLoad]; Slot also for [KindUnload].
	Slot    Slot
	Version string
	// Role is set for [KindRole].
	Role Role
}

// Kind says what an order changes.
type Kind string

// The kinds of orders.
const (
	// KindLoad loads weights; another version in the same slot is replaced.
	KindLoad   Kind = "Load"
	KindUnload Kind = "Unload"
	KindRole   Kind = "Role"
)

// Outcome is what became of an order that was sent, or tried to be sent.
type Outcome string

// The outcomes of orders.
const (
	// OutcomeDone is for orders that the server says it has taken on.
	OutcomeDone Outcome = "Done"
	// OutcomeStale is for orders that the server refused for their fencing number.
	OutcomeStale Outcome = "Stale"
	// OutcomeNotSent is for orders that surely take no effect.
	OutcomeNotSent Outcome = "NotSent"
	// OutcomeUnknown is for orders that may have taken effect, or still may.
	OutcomeUnknown Outcome = "Unknown"
)

// Server is a backend server that accepts orders.
type Server struct {
	Name string
	// Address is the IP address and port.
	Address string
	// Fencing is taken for [config.FencingIgnores] when it is empty.
	Fencing config.Fencing
}

// Refuses reports whether the server refuses orders with an old fencing number.
func (server Server) Refuses() bool { return server.Fencing == config.FencingRefuses }

// Target is a backend server with its desired state.
type Target struct {
	Server
	Desired Desired
}

// Desired is the state that a backend server should have.
type Desired struct {
	Role Role
	// Weights are all the weights it should hold; others are unloaded.
	Weights []DesiredWeights
}

// DesiredWeights is weights that a backend server should hold.
type DesiredWeights struct {
	Slot
	Version string
	// Bytes is how much is read from the weight store.
	Bytes int64
	// Need ranks loads that compete for the weight store; the highest goes first.
	Need float64
}
