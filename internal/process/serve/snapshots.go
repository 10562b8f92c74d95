package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Snapshots is the end of the control paths: it publishes what requests are decided on.
type Snapshots struct {
	view *rcu.Cell[request.View]
}

// NewSnapshots returns snapshots of an empty configuration.
func NewSnapshots() *Snapshots {
	return &Snapshots{view: rcu.New(request.View{})}
}

// View returns the current snapshots.
func (snapshots *Snapshots) View() request.View {
	return snapshots.view.Load()
}

// PublishConfig puts a configuration in force unless a newer one already is.
//
// It returns an error, and leaves the old one in force, when the fleet that the
// configuration describes cannot be worked out.
func (snapshots *Snapshots) PublishConfig(set config.Set) error {
	_, err := rcu.Apply(snapshots.view, func(view request.View) (request.View, error) {
		if set.Revision() <= view.Config.Revision() {
			return view, nil
		}
		fleet, err := backend.NewFleet(set, nil, view.Fleet)
		if err != nil {
			return view, err
		}
		return request.View{Config: set, Fleet: fleet}, nil
	})
	return err
}
