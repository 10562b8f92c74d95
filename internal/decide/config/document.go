package config

// Protocol is the interface that a service's backend servers speak.
type Protocol string

// The protocols of backend servers.
const (
	ProtocolEngine Protocol = "Engine"
	ProtocolPlain  Protocol = "Plain"
)

// RepeatPolicy says whether a service's work may be sent again.
type RepeatPolicy string

// The rules for sending work again.
const (
	// RepeatNever is for work that takes effect each time it runs.
	RepeatNever RepeatPolicy = "Never"
	// RepeatIdempotent is for work that may run any number of times.
	RepeatIdempotent RepeatPolicy = "Idempotent"
	// RepeatByKey is for services that drop repeats of an idempotency key themselves.
	RepeatByKey RepeatPolicy = "ByKey"
)

// Fencing says what a backend server does with an order that carries an old fencing number.
type Fencing string

// The ways in which backend servers treat fencing numbers.
const (
	FencingRefuses Fencing = "Refuses"
	FencingIgnores Fencing = "Ignores"
)

// Kind names the kinds of documents.
type Kind string

// The kinds of documents.
const (
	KindService Kind = "Service"
	KindAccount Kind = "Account"
	KindBackend Kind = "Backend"
)

// Service is a class of work and the backend servers that may do it.
type Service struct {
	Name     string
	Labels   map[string]string `json:",omitempty"`
	Protocol Protocol
	Repeat   RepeatPolicy
	// Selector picks the backend servers by their labels, in the Kubernetes selector syntax.
	Selector string
	// StatusPath is where a plain service tells the state of an idempotency key, empty for none.
	StatusPath string `json:",omitempty"`
	// TimeoutMs bounds a request from arrival to its answer, in milliseconds.
	TimeoutMs int
}

// Account is a client account and its limits.
type Account struct {
	Name   string
	Labels map[string]string `json:",omitempty"`
	// KeyHash is the hex SHA-256 of the access key.
	KeyHash string
	// Weight is the account's share of capacity relative to the other accounts.
	Weight int
	// Concurrency bounds the requests in progress over all entries, 0 for no bound.
	Concurrency int `json:",omitempty"`
	// RequestsPerSecond bounds accepted requests over all entries, 0 for no bound.
	RequestsPerSecond float64 `json:",omitempty"`
	// TokensPerSecond bounds generated tokens over all entries, 0 for no bound.
	TokensPerSecond float64 `json:",omitempty"`
	// QueueLength bounds the requests that wait at one entry, 0 for the default.
	QueueLength int `json:",omitempty"`
}

// Backend is a backend server.
type Backend struct {
	Name   string
	Labels map[string]string `json:",omitempty"`
	// Address is the IP address and port.
	Address string
	// Domain names the failure domain.
	Domain string
	// Slots is how many requests it runs at once.
	Slots   int
	Fencing Fencing `json:",omitempty"`
}
