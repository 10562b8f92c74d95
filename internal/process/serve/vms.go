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

// vmListInterval is the time between polls of the VM list; with a notice that
// peers pass on within a second it keeps a leaving server from new work within 3 s.
const vmListInterval = time.Second

// startVMList adds the path from the VM list to membership and leaving servers to group.
func startVMList(group *control.Group, url string, gossipNode *gossipNode, departure *departure, logger zerolog.Logger) error {
	poller, err := vmlist.New(vmlist.Settings{
		URL:      url,
		Interval: vmListInterval,
		OnError:  func(err error) { logger.Warn().Err(err).Msg("the VM list could not be read") },
	})
	if err != nil {
		return err
	}
	lists := control.Read(group, poller)
	group.Go(func(context.Context) error {
		for list := range lists {
			departure.takeList(list)
			if err := gossipNode.takeList(list, time.Now()); err != nil {
				return err
			}
		}
		return nil
	})
	return nil
}

// takeList joins a VM list with what is known, and tells peers of servers that are newly leaving.
func (gossipNode *gossipNode) takeList(list vmlist.List, now time.Time) error {
	news := backend.Departures{}
	var leaving []membership.Server
	for _, listed := range list.Backends {
		incarnation := uint64(listed.Incarnation)
		if !listed.Leaving {
			news[listed.Name] = backend.Departure{Incarnation: incarnation}
			continue
		}
		news[listed.Name] = backend.Departure{Incarnation: incarnation, Leaving: true, Source: backend.SourceList, At: now}
		leaving = append(leaving, membership.Server{Name: listed.Name, Incarnation: listed.Incarnation})
	}
	gossipNode.state.Update(func(state membership.State) membership.State {
		return state.WithListings(list.Entries).WithServersLeaving(leaving, now)
	})
	return gossipNode.snapshots.PublishLeaving(news)
}
