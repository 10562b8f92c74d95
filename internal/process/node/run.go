package node

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

const (
	// stopDelay is the time between the signal to stop and the refusal of new calls. Within
	// this time the platform's balancer detects that the entry is not ready, and connections
	// are closed after their next answer.
	stopDelay = 2800 * time.Millisecond
	// stopMargin is the part of [Settings.StopTime] that is reserved for ending the process.
	stopMargin = 900 * time.Millisecond
)

// Run serves until ctx ends, then finishes the accepted calls.
//
// It returns the first error of a stage, after all stages have stopped.
func (node *Node) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := control.NewGroup(serving)
	reader := share.NewStoreReader(node.sharedState, node.platform.Directory, node, node.logger)
	group.Go(node.readFleetSize)
	group.Go(reader.RunRoutes)
	group.Go(reader.RunServers)
	group.Go(node.syncer.Run)
	group.Go(node.peerServer.Serve)
	group.Go(node.statusServer.serve)
	if node.metricsServer != nil {
		group.Go(node.metricsServer.serve)
	}
	group.Go(node.ingress.Serve)
	group.Go(func(serving context.Context) error {
		// The lease is released at the signal to stop, so that another entry becomes leader at once.
		dutyCtx, stopDuty := context.WithCancel(serving)
		defer stopDuty()
		defer context.AfterFunc(ctx, stopDuty)()
		return node.runDuties(dutyCtx)
	})
	group.Go(func(serving context.Context) error {
		defer stop()
		return node.awaitStop(ctx, serving)
	})
	node.logger.Info().Str("FrontAddress", node.ingress.Address()).Str("PeerAddress", node.settings.Load().PeerAddress).
		Strs("Seeds", node.Seeds()).Msg("serving")
	return group.Wait()
}

// awaitStop waits until ctx ends and then finishes the accepted calls. It returns at once if serving ends
// before, since a stage has failed then.
func (node *Node) awaitStop(ctx, serving context.Context) error {
	select {
	case <-ctx.Done():
	case <-serving.Done():
		return nil
	}
	node.logger.Info().Int("InProgress", node.gate.InProgress()).Msg("stopping: turning unready and finishing the calls in progress")
	node.sharedState.UpdateSelf(func(state cluster.EntryState) cluster.EntryState {
		state.Stopping = true
		return state
	})
	node.ingress.DisableKeepAlives()
	stopTime := max(0, node.settings.Load().StopTime-stopMargin)
	node.stopping.Begin(time.Now().Add(stopTime))
	delay := min(stopDelay, stopTime)
	quietCtx, cancel := context.WithTimeout(serving, stopTime)
	defer cancel()
	finished, err := node.lifecycle.Stop(serving, node.gate, delay, stopTime-delay)
	node.ingress.AwaitQuiet(quietCtx)
	node.logger.Info().Bool("Finished", finished).Msg("stopped")
	return err
}
