package backend

import (
	"fmt"
	"maps"
	"slices"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// Server is a backend server in a snapshot.
type Server struct {
	config.Backend
	// Leaving reports whether the server is leaving and must get no new work.
	Leaving bool
	// Observation is what this entry has observed of the server; it is shared by successive snapshots.
	Observation *rcu.Cell[Observation]
}

// Fleet is an immutable snapshot of all backend servers and of the pool of each service.
type Fleet struct {
	servers map[string]Server
	pools   map[string]Pool
}

// NewFleet returns the fleet for a configuration.
//
// Servers that the previous fleet has with the same name and address keep their
// observations. A selector that cannot be parsed gives an error with the name of its service.
//
// The run time is proportional to the number of servers times the number of distinct
// selectors, since services with the same selector share their candidates.
func NewFleet(set config.Set, leaving Departures, previous Fleet) (Fleet, error) {
	documents := set.Backends()
	fleet := Fleet{
		servers: make(map[string]Server, len(documents)),
		pools:   make(map[string]Pool, len(set.Services())),
	}
	ordered := make([]Server, 0, len(documents))
	for _, name := range slices.Sorted(maps.Keys(documents)) {
		server := newServer(documents[name], leaving.IsLeaving(name), previous)
		fleet.servers[name] = server
		ordered = append(ordered, server)
	}
	bySelector := map[string]candidateSet{}
	for name, service := range set.Services() {
		candidates, ok := bySelector[service.Selector]
		if !ok {
			var err error
			candidates, err = selectCandidates(ordered, service.Selector)
			if err != nil {
				return Fleet{}, fmt.Errorf("service %s: %w", name, err)
			}
			bySelector[service.Selector] = candidates
		}
		fleet.pools[name] = newPool(candidates, previous.pools[name])
	}
	return fleet, nil
}

// Server returns the backend server of that name, or false if there is none.
func (fleet Fleet) Server(name string) (Server, bool) {
	server, ok := fleet.servers[name]
	return server, ok
}

// Servers returns all backend servers, in no particular order.
func (fleet Fleet) Servers() []Server {
	return slices.Collect(maps.Values(fleet.servers))
}

// Pool returns the pool of servers for a service, which has no candidates for an unknown service.
func (fleet Fleet) Pool(service string) Pool {
	return fleet.pools[service]
}

// Candidates returns the servers that match a service's selector and are not leaving, ordered by name.
//
// The caller must not change the slice.
func (fleet Fleet) Candidates(service string) []Server {
	return fleet.pools[service].servers
}

// selectCandidates returns the servers that match a label selector and are not leaving, in the given order.
func selectCandidates(ordered []Server, expression string) (candidateSet, error) {
	selector, err := labels.Parse(expression)
	if err != nil {
		return candidateSet{}, fmt.Errorf("selector %q: %w", expression, err)
	}
	var matched []Server
	for _, server := range ordered {
		if !server.Leaving && selector.Matches(labels.Set(server.Labels)) {
			matched = append(matched, server)
		}
	}
	return newCandidateSet(matched), nil
}

// newServer returns a server with the observation cell of the previous fleet, or with a
// new one if the address has changed.
func newServer(document config.Backend, leaving bool, previous Fleet) Server {
	previousServer, ok := previous.servers[document.Name]
	if !ok || previousServer.Address != document.Address {
		return Server{Backend: document, Leaving: leaving, Observation: rcu.New(Observation{Leaving: leaving})}
	}
	if previousServer.Observation.Load().Leaving != leaving {
		previousServer.Observation.Update(func(observation Observation) Observation { return observation.WithLeaving(leaving) })
	}
	return Server{Backend: document, Leaving: leaving, Observation: previousServer.Observation}
}

// WithCandidates returns the fleet with other candidates, usually fewer, for one service.
//
// The service keeps its health and affinity.
func (fleet Fleet) WithCandidates(service string, candidates []Server) Fleet {
	pool := fleet.pools[service]
	pool.candidateSet = newCandidateSet(candidates)
	fleet.pools = maps.Clone(fleet.pools)
	fleet.pools[service] = pool
	return fleet
}
