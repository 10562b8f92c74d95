package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Snapshots is the end of the control paths: it publishes what requests are decided on.
type Snapshots struct {
	state *rcu.Cell[snapshot]
}

// snapshot is the view of requests and what it was worked out from.
type snapshot struct {
	view    request.View
	leaving backend.Departures
}

// NewSnapshots returns snapshots of an empty configuration.
func NewSnapshots() *Snapshots {
	return &Snapshots{state: rcu.New(snapshot{})}
}

// View returns the current snapshots.
func (snapshots *Snapshots) View() request.View {
	return snapshots.state.Load().view
}

// Set returns the configuration in force.
func (snapshots *Snapshots) Set() config.Set {
	return snapshots.View().Config
}

// Leaving returns the backend servers that are known to be leaving.
func (snapshots *Snapshots) Leaving() backend.Departures {
	return snapshots.state.Load().leaving
}

// PublishConfig puts a configuration in force unless a newer one already is.
//
// It returns an error, and leaves the old one in force, when the fleet that the
// configuration describes cannot be worked out.
func (snapshots *Snapshots) PublishConfig(set config.Set) error {
	return snapshots.publish(func(current snapshot) snapshot {
		if set.Revision() > current.view.Config.Revision() {
			current.view.Config = set
		}
		return current
	})
}

// PublishLeaving joins news about leaving backend servers.
func (snapshots *Snapshots) PublishLeaving(news backend.Departures) error {
	return snapshots.publish(func(current snapshot) snapshot {
		current.leaving = current.leaving.Merge(news)
		return current
	})
}

// publish stores the changed snapshot together with the fleet that follows from it.
func (snapshots *Snapshots) publish(change func(snapshot) snapshot) error {
	_, err := rcu.Apply(snapshots.state, func(current snapshot) (snapshot, error) {
		next := change(current)
		fleet, err := backend.NewFleet(next.view.Config, next.leaving, current.view.Fleet)
		if err != nil {
			return current, err
		}
		next.view.Fleet = fleet
		return next, nil
	})
	return err
}
