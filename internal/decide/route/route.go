package route

import "time"

// Kind is the kind of calls on a route, which determines whether they may be repeated.
type Kind string

// The kinds of routes.
const (
	KindIdempotent    Kind = "Idempotent"
	KindNonIdempotent Kind = "NonIdempotent"
	KindStream        Kind = "Stream"
)

// Route describes the services that receive the calls below a path, and the limits and targets for these calls.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services lists the services that receive the calls, with their weights.
	Services []WeightedService
	// Timeout is the longest time that a call may wait for its answer.
	Timeout time.Duration
	// Target is the target latency of a complete answer, or of the first event of a stream.
	Target time.Duration
	// GapTarget is the target for the longest pause between the events of a stream.
	GapTarget time.Duration
	// Priority is the priority of the calls, 0 for the highest.
	Priority int
	// Attempts is the maximum number of servers that may run one call.
	Attempts int
	// Public reports that calls need no access key.
	Public bool
	// Resumable reports that streams may continue at another server.
	Resumable bool
	// CacheAffinity reports that calls share parts of their prompts, so that sending
	// related calls to the same server saves computation.
	CacheAffinity bool
}

// WeightedService is a service with its share of a route's calls.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a call may run more than once.
func (route Route) Repeatable() bool {
	return route.Kind == KindIdempotent || route.Kind == KindStream && route.Resumable
}

// PickService returns the service for a random number draw in [0, 1), with a
// probability proportional to its weight, or false if the route has no service.
func (route Route) PickService(draw float64) (string, bool) {
	total := 0
	for _, backend := range route.Services {
		total += backend.Weight
	}
	remaining := int(draw * float64(total))
	for _, backend := range route.Services {
		if remaining < backend.Weight {
			return backend.Service, true
		}
		remaining -= backend.Weight
	}
	return "", false
}
