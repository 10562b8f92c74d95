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
	// Attempts is the maximum number of tries in which a server may run one call.
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
	for _, weighted := range route.Services {
		total += weighted.Weight
	}
	remaining := int(draw * float64(total))
	for _, weighted := range route.Services {
		if remaining < weighted.Weight {
			return weighted.Service, true
		}
		remaining -= weighted.Weight
	}
	return "", false
}
