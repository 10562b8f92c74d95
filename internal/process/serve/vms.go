package serve

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/vmlist"
)

// vmListInterval is the time between two polls of the VM list. Since peers also report leaving servers within
// a second, a leaving server gets no new requests from 3 s after its reclaim notice on.
const vmListInterval = time.Second

// startVMList starts in group the control path that polls the VM list.
//
// Each list updates the membership and the departures of backend servers, and may contain the reclaim notice for
// this entry's VM. It returns an error if the HTTP client cannot be created.
func startVMList(group *control.Group, url string, gossipNode *gossipNode, shutdown *shutdown, logger zerolog.Logger) error {
	poller, err := vmlist.New(vmlist.Settings{
		URL:      url,
		Interval: vmListInterval,
		OnError: func(err error) {
			logger.Warn().Err(err).Msg("could not read the VM list; keeping the state from the last successful poll")
		},
	})
	if err != nil {
		return err
	}
	lists := control.Read(group, poller)
	group.Go(func(context.Context) error {
		for list := range lists {
			shutdown.applyVMList(list)
			if err := gossipNode.applyVMList(list, time.Now()); err != nil {
				return err
			}
		}
		return nil
	})
	return nil
}

// applyVMList merges a VM list into the membership and the departures of backend servers, and publishes leaving
// servers to peers.
func (gossipNode *gossipNode) applyVMList(list vmlist.List, now time.Time) error {
	departures := backend.Departures{}
	var leaving []membership.Server
	for _, listed := range list.Backends {
		incarnation := uint64(listed.Incarnation)
		if !listed.Leaving {
			departures[listed.Name] = backend.Departure{Incarnation: incarnation}
			continue
		}
		departures[listed.Name] = backend.Departure{Incarnation: incarnation, Leaving: true, Source: backend.SourceList, At: now}
		leaving = append(leaving, membership.Server{Name: listed.Name, Incarnation: listed.Incarnation})
	}
	gossipNode.state.Update(func(state membership.State) membership.State {
		return state.WithListings(list.Entries).WithServersLeaving(leaving, now)
	})
	return gossipNode.snapshots.PublishDepartures(departures)
}
