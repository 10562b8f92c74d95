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

// Fleet is the snapshot of all backend servers and of the candidates of each service.
type Fleet struct {
	servers    map[string]Server
	candidates map[string][]Server
}

// NewFleet returns the fleet that a configuration describes.
//
// Observations of servers that previous knows under the same name and address
// are taken over. It returns an error that names the service for a selector
// that cannot be parsed.
func NewFleet(set config.Set, leaving map[string]bool, previous Fleet) (Fleet, error) {
	fleet := Fleet{servers: map[string]Server{}, candidates: map[string][]Server{}}
	for _, name := range slices.Sorted(maps.Keys(set.Backends())) {
		fleet.servers[name] = server(set.Backends()[name], leaving[name], previous)
	}
	for name, service := range set.Services() {
		candidates, err := fleet.selected(service.Selector)
		if err != nil {
			return Fleet{}, fmt.Errorf("service %s: %w", name, err)
		}
		fleet.candidates[name] = candidates
	}
	return fleet, nil
}

// Server returns the backend server of that name.
func (fleet Fleet) Server(name string) (Server, bool) {
	server, ok := fleet.servers[name]
	return server, ok
}

// Candidates returns the servers that may do a service's work and are not leaving.
//
// The order is by name, and the caller must not change the slice.
func (fleet Fleet) Candidates(service string) []Server {
	return fleet.candidates[service]
}

func (fleet Fleet) selected(expression string) ([]Server, error) {
	selector, err := labels.Parse(expression)
	if err != nil {
		return nil, fmt.Errorf("selector %q: %w", expression, err)
	}
	var matched []Server
	for _, name := range slices.Sorted(maps.Keys(fleet.servers)) {
		server := fleet.servers[name]
		if !server.Leaving && selector.Matches(labels.Set(server.Labels)) {
			matched = append(matched, server)
		}
	}
	return matched, nil
}

func server(document config.Backend, leaving bool, previous Fleet) Server {
	observation := rcu.New(Observation{})
	if known, ok := previous.servers[document.Name]; ok && known.Address == document.Address {
		observation = known.Observation
	}
	return Server{Backend: document, Leaving: leaving, Observation: observation}
}

// WithCandidates returns the fleet with other candidates for one service.
func (fleet Fleet) WithCandidates(service string, candidates []Server) Fleet {
	fleet.candidates = maps.Clone(fleet.candidates)
	fleet.candidates[service] = candidates
	return fleet
}
