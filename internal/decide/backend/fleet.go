package backend

import (
	"fmt"
	"maps"
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// Server is a backend server as a snapshot sees it.
type Server struct {
	config.Backend
	// Leaving reports that the server takes no new work.
	Leaving bool
	// Observation is what this entry observes of the server.
	Observation *rcu.Cell[Observation]
}

// Fleet is the snapshot of all backend servers and of the pool of each service.
type Fleet struct {
	servers map[string]Server
	pools   map[string]Pool
}

// NewFleet returns the fleet that a configuration describes.
//
// Observations of servers that previous knows under the same name and address
// are taken over. It returns an error that names the service for a selector
// that cannot be parsed.
//
// The time is proportional to the servers times the distinct selectors:
// services with the same selector share their candidates.
func NewFleet(set config.Set, leaving Departures, previous Fleet) (Fleet, error) {
	documents := set.Backends()
	fleet := Fleet{
		servers: make(map[string]Server, len(documents)),
		pools:   make(map[string]Pool, len(set.Services())),
	}
	ordered := make([]Server, 0, len(documents))
	for _, name := range slices.Sorted(maps.Keys(documents)) {
		next := server(documents[name], leaving.Has(name), previous)
		fleet.servers[name] = next
		ordered = append(ordered, next)
	}
	members := map[string]membership{}
	for name, service := range set.Services() {
		shared, ok := members[service.Selector]
		if !ok {
			var err error
			shared, err = selected(ordered, service.Selector)
			if err != nil {
				return Fleet{}, fmt.Errorf("service %s: %w", name, err)
			}
			members[service.Selector] = shared
		}
		fleet.pools[name] = newPool(shared, previous.pools[name])
	}
	return fleet, nil
}

// Server returns the backend server of that name.
func (fleet Fleet) Server(name string) (Server, bool) {
	server, ok := fleet.servers[name]
	return server, ok
}

// Servers returns all backend servers, in no particular order.
func (fleet Fleet) Servers() []Server {
	return slices.Collect(maps.Values(fleet.servers))
}

// Pool returns the servers that may do a service's work, without candidates for an unknown service.
func (fleet Fleet) Pool(service string) Pool {
	return fleet.pools[service]
}

// Candidates returns the servers that may do a service's work and are not leaving.
//
// The order is by name, and the caller must not change the slice.
func (fleet Fleet) Candidates(service string) []Server {
	return fleet.pools[service].servers
}

func selected(ordered []Server, expression string) (membership, error) {
	selector, err := labels.Parse(expression)
	if err != nil {
		return membership{}, fmt.Errorf("selector %q: %w", expression, err)
	}
	var matched []Server
	for _, server := range ordered {
		if !server.Leaving && selector.Matches(labels.Set(server.Labels)) {
			matched = append(matched, server)
		}
	}
	return newMembership(matched), nil
}

func server(document config.Backend, leaving bool, previous Fleet) Server {
	known, ok := previous.servers[document.Name]
	if !ok || known.Address != document.Address {
		return Server{Backend: document, Leaving: leaving, Observation: rcu.New(Observation{Leaving: leaving})}
	}
	if known.Observation.Load().Leaving != leaving {
		known.Observation.Update(func(observation Observation) Observation { return observation.WithLeaving(leaving) })
	}
	return Server{Backend: document, Leaving: leaving, Observation: known.Observation}
}

// WithCandidates returns the fleet with fewer candidates for one service.
//
// What the entry knows of the service's servers together stays the same.
func (fleet Fleet) WithCandidates(service string, candidates []Server) Fleet {
	pool := fleet.pools[service]
	pool.membership = newMembership(candidates)
	fleet.pools = maps.Clone(fleet.pools)
	fleet.pools[service] = pool
	return fleet
}
