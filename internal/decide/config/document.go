package config

// Protocol is the protocol that a service's backend servers speak.
type Protocol string

// The protocols of backend servers.
const (
	ProtocolEngine Protocol = "Engine"
	ProtocolPlain  Protocol = "Plain"
)

// RepeatPolicy determines whether a request to a service may be sent again.
type RepeatPolicy string

// The repeat policies of services.
const (
	// RepeatNever is for requests that take effect each time they run.
	RepeatNever RepeatPolicy = "Never"
	// RepeatIdempotent is for requests that may run any number of times.
	RepeatIdempotent RepeatPolicy = "Idempotent"
	// RepeatByKey is for services that deduplicate requests by idempotency key themselves.
	RepeatByKey RepeatPolicy = "ByKey"
)

// Fencing determines what a backend server does with an order (a command such as
// loading weights) whose fencing number is lower than the highest one that it has
// accepted.
type Fencing string

// The ways in which backend servers treat fencing numbers.
const (
	FencingRefuses Fencing = "Refuses"
	FencingIgnores Fencing = "Ignores"
)

// Kind is the kind of a document.
type Kind string

// The kinds of documents.
const (
	KindService Kind = "Service"
	KindAccount Kind = "Account"
	KindBackend Kind = "Backend"
)

// Service is a class of requests and the backend servers that may answer them.
type Service struct {
	Name     string
	Labels   map[string]string `json:",omitempty"`
	Protocol Protocol
	Repeat   RepeatPolicy
	// Selector picks the backend servers by their labels, in the Kubernetes selector syntax.
	Selector string
	// StatusPath is the URL path at which a plain service reports the state of an
	// idempotency key; empty if the service has none.
	StatusPath string `json:",omitempty"`
	// TimeoutMs bounds the time from a request's arrival to its answer, in milliseconds.
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
	// Domain is the name of the failure domain.
	Domain string
	// Slots is the number of requests that the server runs concurrently.
	Slots   int
	Fencing Fencing `json:",omitempty"`
}
