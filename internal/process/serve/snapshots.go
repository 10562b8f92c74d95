package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Snapshots holds the current view, on which each request is decided. The control paths update it.
type Snapshots struct {
	state *rcu.Cell[snapshot]
}

// snapshot is a view together with the departures from which its fleet was computed.
type snapshot struct {
	view       request.View
	departures backend.Departures
}

// NewSnapshots returns snapshots whose view has an empty configuration and an empty fleet.
func NewSnapshots() *Snapshots {
	return &Snapshots{state: rcu.New(snapshot{})}
}

// View returns the current view.
func (snapshots *Snapshots) View() request.View {
	return snapshots.state.Load().view
}

// Set returns the configuration set in force.
func (snapshots *Snapshots) Set() config.Set {
	return snapshots.View().Config
}

// Departures returns the departures of backend servers received so far.
func (snapshots *Snapshots) Departures() backend.Departures {
	return snapshots.state.Load().departures
}

// PublishConfig puts a configuration in force unless one with the same or a higher revision already is.
//
// It returns an error and leaves the old configuration in force if no fleet can be
// built from the new one.
func (snapshots *Snapshots) PublishConfig(set config.Set) error {
	return snapshots.publish(func(current snapshot) snapshot {
		if set.Revision() > current.view.Config.Revision() {
			current.view.Config = set
		}
		return current
	})
}

// PublishDepartures merges departures of backend servers and publishes the resulting fleet.
//
// It returns an error and changes nothing if no fleet can be built.
func (snapshots *Snapshots) PublishDepartures(departures backend.Departures) error {
	return snapshots.publish(func(current snapshot) snapshot {
		current.departures = current.departures.Merge(departures)
		return current
	})
}

// publish stores the changed snapshot with a fleet rebuilt from its configuration and departures.
func (snapshots *Snapshots) publish(change func(snapshot) snapshot) error {
	_, err := rcu.Apply(snapshots.state, func(current snapshot) (snapshot, error) {
		next := change(current)
		fleet, err := backend.NewFleet(next.view.Config, next.departures, current.view.Fleet)
		if err != nil {
			return current, err
		}
		next.view.Fleet = fleet
		return next, nil
	})
	return err
}
