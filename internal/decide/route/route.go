package route

import "time"

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	KindIdempotent    Kind = "Idempotent"
	KindNonIdempotent Kind = "NonIdempotent"
	KindStream        Kind = "Stream"
)

// Route says where the calls below a path go, and what is promised for them.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Services are the services that take the calls, by weight.
	Services []WeightedService
	// Timeout bounds the time for which a call is kept waiting.
	Timeout time.Duration
	// Target is the time for a whole answer, or for the first event of a stream.
	Target time.Duration
	// GapTarget is the longest pause between the events of a stream.
	GapTarget time.Duration
	// Priority is the rank of the calls, 0 for the highest.
	Priority int
	// Attempts is the number of servers that may run one call.
	Attempts int
	// Public calls need no access key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
	// CacheAffinity calls share prompt parts, so that it pays to keep them together.
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

// PickService returns the service for a draw in [0, 1), and false when the route has none.
func (route Route) PickService(draw float64) (string, bool) {
	total := 0
	for _, backend := range route.Services {
		total += backend.Weight
	}
	left := int(draw * float64(total))
	for _, backend := range route.Services {
		if left < backend.Weight {
			return backend.Service, true
		}
		left -= backend.Weight
	}
	return "", false
}
