package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/process/lifecycle"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/caller"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/loadreport"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
)

// recentResultsSize is the number of recent requests that operators can query.
const recentResultsSize = 1024

// Entry is one entry process.
type Entry struct {
	settings   settings.Settings
	logger     zerolog.Logger
	lifecycle  *lifecycle.Lifecycle
	gate       *request.Gate
	snapshots  *Snapshots
	suspects   request.Suspects
	store      *kv.Client
	gossipNode *gossipNode
	configPath *configPath
	ledger     *booking.Ledger
	// forwardedPath handles the orders that other entries forward to this one.
	forwardedPath  request.Handler
	shutdown       *shutdown
	callerServer   *caller.Server
	operatorServer *operator.Server
}

// New builds an entry and opens its addresses for callers, operators and peers.
//
// It returns an error if an address cannot be opened.
func New(settings settings.Settings, logger zerolog.Logger) (*Entry, error) {
	entry := &Entry{
		settings:  settings,
		logger:    logger,
		lifecycle: lifecycle.New(),
		gate:      request.NewGate(),
		snapshots: NewSnapshots(),
		suspects:  request.NewSuspects(),
	}
	if err := entry.open(); err != nil {
		entry.closeAddresses()
		return nil, err
	}
	return entry, nil
}

// open builds the paths of the entry and opens its addresses. After an error, some of the addresses may be open.
func (entry *Entry) open() error {
	if err := entry.openControl(); err != nil {
		return err
	}
	settings := entry.settings
	metrics, recentResults := entry.newMetrics(), request.NewRecentResults(recentResultsSize)
	callers, forwarded := entry.paths(metrics, recentResults)
	entry.forwardedPath = forwarded
	var err error
	entry.callerServer, err = caller.Listen(settings.CallerAddress, settings.MaxBodyBytes, callers)
	if err != nil {
		return err
	}
	entry.operatorServer, err = operator.Listen(settings.OperatorAddress, operator.Dependencies{
		Name:          settings.Name,
		Operators:     settings.Operators,
		Readiness:     entry.lifecycle,
		Views:         entry.snapshots,
		RecentResults: recentResults,
		Metrics:       metrics,
		Logger:        entry.logger,
		Committer:     pipeconfig.NewCommitter(entry.configPath.log, entry.snapshots, zeroUsage{}, entry.configPath.history),
		History:       entry.configPath.history,
		Entries:       entry.gossipNode,
		ConfigAge:     entry.configPath,
		Quarantine:    entry.suspects,
	})
	if err != nil {
		return err
	}
	entry.limitResources(metrics)
	return nil
}

// closeAddresses closes the addresses that are open, of an entry that does not run.
func (entry *Entry) closeAddresses() {
	if entry.gossipNode != nil {
		_ = entry.gossipNode.listener.Close()
	}
	if entry.callerServer != nil {
		_ = entry.callerServer.Close()
	}
}

// openControl builds the control paths and opens the address for peers.
func (entry *Entry) openControl() error {
	storeSettings := kv.DefaultSettings(entry.settings.KVAddresses...)
	storeSettings.CallsPerSecond = float64(entry.settings.KVCallsPerSecond)
	entry.store = kv.New(storeSettings)
	var err error
	entry.gossipNode, err = newGossipNode(entry.settings, entry.snapshots)
	if err != nil {
		return err
	}
	follower := control.NewLogFollower(entry.gossipNode.state, entry.gossipNode.client, random{})
	entry.configPath = newConfigPath(entry.store, follower, entry.snapshots, entry.logger, entry.setReady)
	entry.ledger = newLedger(entry.store, entry.gossipNode)
	entry.shutdown = newShutdown(entry.settings, entry.gossipNode)
	return nil
}

// setReady marks the entry ready for requests; calls after the first have no effect.
func (entry *Entry) setReady() {
	if err := entry.lifecycle.SetReady(); err != nil {
		entry.logger.Error().Err(err).Msg("could not mark the entry ready for requests")
	}
}

func (entry *Entry) newMetrics() *telemetry.Metrics {
	metrics := telemetry.NewMetrics()
	metrics.Gauge("requests_in_progress", func() float64 { return float64(entry.gate.InProgress()) })
	metrics.Gauge("config_revision", func() float64 { return float64(entry.snapshots.Set().Revision()) })
	metrics.Gauge("config_age_seconds", func() float64 { return entry.configPath.Age().Seconds() })
	metrics.Gauge("entries_live", func() float64 { return float64(len(entry.gossipNode.state.Load().View().Live())) })
	return metrics
}

// CallerAddress returns the "IP:port" on which the entry listens for callers.
func (entry *Entry) CallerAddress() string { return entry.callerServer.Address() }

// OperatorAddress returns the "IP:port" on which the entry listens for operators.
func (entry *Entry) OperatorAddress() string { return entry.operatorServer.Address() }

// Run serves until ctx ends or a reclaim notice arrives, and then finishes the accepted requests.
//
// It returns the first error of a server or control path, after all of them have stopped.
func (entry *Entry) Run(ctx context.Context) error {
	// Servers and control paths run beyond the end of ctx, so that accepted requests can be finished.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := control.NewGroup(serving)
	group.Go(entry.callerServer.Serve)
	group.Go(entry.operatorServer.Serve)
	entry.gossipNode.start(group, entry.configPath.follower, shardLeader{leaders{entry.gossipNode}, entry.forwardedPath}, entry.shutdown.handover.Holder())
	group.Go(peerSync{entry.gossipNode, entry.snapshots, entry.suspects.Tracker}.Run)
	entry.configPath.start(group)
	group.Go(loadPoller{entry.snapshots, loadreport.New(entry.settings.DialTimeout)}.Run)
	group.Go(entry.runLedger)
	group.Go(entry.runCheckpoints)
	if entry.settings.VMListURL != "" {
		if err := startVMList(group, entry.settings.VMListURL, entry.gossipNode, entry.shutdown, entry.logger); err != nil {
			stop()
			return errors.Join(err, group.Wait())
		}
	}
	group.Go(func(serving context.Context) error {
		defer stop()
		return entry.awaitStop(ctx, serving)
	})
	entry.logger.Info().Str("CallerAddress", entry.CallerAddress()).Str("OperatorAddress", entry.OperatorAddress()).
		Str("PeerAddress", entry.gossipNode.listener.Addr().String()).Msg("serving")
	return group.Wait()
}

// awaitStop waits until ctx ends or a reclaim notice arrives, and then finishes or hands over the accepted
// requests.
//
// It returns at once if serving ends, which means that a server or control path has failed.
func (entry *Entry) awaitStop(ctx, serving context.Context) error {
	select {
	case <-ctx.Done():
	case <-entry.shutdown.reclaimNoticed:
	case <-serving.Done():
		return nil
	}
	entry.logger.Info().Int("InProgress", entry.gate.InProgress()).Msg("stopping: turning unready and finishing the requests in progress")
	entry.gossipNode.state.Update(membership.State.WithLeaving)
	delay, timeout := entry.shutdown.stopTimes(time.Now())
	waitHandover := entry.shutdown.startHandover(serving, delay+timeout)
	finished, err := entry.lifecycle.Stop(serving, entry.gate, delay, timeout)
	waitHandover()
	entry.logger.Info().Bool("Finished", finished).Msg("stopped")
	return err
}

// runLedger commits bookings until ctx ends, which is not an error.
func (entry *Entry) runLedger(ctx context.Context) error {
	_ = entry.ledger.Run(ctx)
	return nil
}

// runCheckpoints writes checkpoints of the configuration until ctx ends, which is not an error.
func (entry *Entry) runCheckpoints(ctx context.Context) error {
	checkpointer := newCheckpointer(entry.store, entry.configPath.log, entry.snapshots, entry.gossipNode.holderID())
	_ = checkpointer.Run(ctx, func(revision int64, err error) {
		if err != nil || revision > 0 {
			entry.logger.Info().Err(err).Int64("Revision", revision).Msg("attempted a configuration checkpoint; Revision is 0 if none was written")
		}
	})
	return nil
}

// zeroUsage reports no usage of any client account, since entries do not add up their usage yet. A change is
// therefore validated without a comparison of limits with usage.
type zeroUsage struct{}

// Usage returns the zero usage.
func (zeroUsage) Usage() config.Usage { return config.Usage{} }

// random draws from the random source of the process, which is safe for concurrent use.
type random struct{}

// IntN returns a random number in [0, n).
func (random) IntN(n int) int { return rand.IntN(n) }
