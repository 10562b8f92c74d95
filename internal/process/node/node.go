package node

import (
	"context"
	"math"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
	"github.com/rosemaryspar/rosemaryspar/internal/process/lifecycle"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/ingress"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

const (
	// revokeMargin is left of the time after which a key that was taken away must not work.
	revokeMargin = 250 * time.Millisecond
	// stopDelay is the time between the signal to stop and the refusal of new calls, in
	// which the platform's balancer notices and connections end with their answers.
	stopDelay = 2800 * time.Millisecond
	// stopMargin is left of the time to stop for ending the process.
	stopMargin = 900 * time.Millisecond
	// memoryShare is the part of the memory that the Go runtime may use; the rest is
	// for the program itself and for bytes in the kernel's buffers.
	memoryShare = 0.7
	// recentResultsSize is how many recent calls an operator can ask about.
	recentResultsSize = 256
)

// Codec names the header fields of calls and answers.
type Codec interface {
	ingress.Codec
	backend.Codec
}

// Platform is what the entry needs of the platform it runs on.
type Platform struct {
	Codec     Codec
	Directory share.Store
	Decoder   share.Decoder
	Store     interface {
		metadata.Store
		duties.Store
	}
	Cloud interface {
		duties.UsageAPI
		duties.CapacityAPI
	}
	// ReadyPath is the path that the platform's balancer asks.
	ReadyPath string
}

// Node is one entry process.
type Node struct {
	// settings are replaced by [Node.Reload]; what is opened at the start stays.
	settings  *rcu.Cell[Settings]
	platform  Platform
	logger    zerolog.Logger
	lifecycle      *lifecycle.Lifecycle
	gate      *request.Gate
	sharedState *share.SharedState
	syncer  *share.Syncer
	limits    *forward.Limits
	observations    *forward.Observations
	budgets   *forward.RetryBudgets
	demand    *forward.Demand
	crashTracker  *rcu.Cell[suspect.Tracker]
	usageCounter     *usageCounter
	// loggedAggregators names the relays that were logged last.
	loggedAggregators []string
	// prunedGeneration is the list of servers to whose others no connections are left.
	prunedGeneration uint64
	// elector is nil where there is nothing to do for the platform.
	elector *duty.Elector
	client *backend.Client
	ingress  *ingress.Server
	peerServer  *wireshare.Server
	statusServer *statusServer
}

// New builds an entry and opens its addresses.
func New(settings Settings, platform Platform, logger zerolog.Logger) (*Node, error) {
	limitMemory(settings)
	boot := clock.Boot{}
	self := cluster.EntryState{Member: cluster.Member{
		Name: settings.Name, Address: settings.PeerAddress, Domain: settings.Domain, Incarnation: time.Now().UnixNano(), Cores: settings.Cores,
	}}
	node := &Node{
		settings:  rcu.New(settings),
		platform:  platform,
		logger:    logger,
		lifecycle:      lifecycle.New(),
		gate:      request.NewGate(),
		sharedState: share.NewSharedState(boot, platform.Decoder, self),
		limits:    forward.NewLimits(boot),
		observations:    forward.NewObservations(),
		demand:    forward.NewDemand(boot),
		budgets:   forward.NewRetryBudgets(settings.RepeatSlack / math.Max(1, float64(len(settings.Seeds)))),
		crashTracker:  rcu.New(suspect.Tracker{}),
	}
	node.usageCounter = newUsageCounter(node.sharedState, settings.UsageWindow)
	node.elector = newElector(node, settings, platform)
	node.syncer = share.NewSyncer(node.sharedState, wireshare.NewClient(), node, node)
	return node, node.open(boot)
}

// Reload takes new settings over; addresses stay as they were opened.
func (node *Node) Reload(settings Settings) {
	old := node.settings.Load()
	limitMemory(settings)
	node.settings.Store(settings)
	event := node.logger.Info().Strs("Seeds", settings.Seeds)
	if old.FrontAddress != settings.FrontAddress || old.ReadyAddress != settings.ReadyAddress || old.PeerAddress != settings.PeerAddress ||
		old.StoreAddress != settings.StoreAddress || old.CloudAddress != settings.CloudAddress {
		event = node.logger.Warn().Bool("AddressesChanged", true)
	}
	event.Msg("settings reloaded")
}

// Seeds returns the peer addresses of some entries, which may be down.
func (node *Node) Seeds() []string { return node.settings.Load().Seeds }

// maxRoutesAge is the age of the configuration up to which calls with an access key run.
func (node *Node) maxRoutesAge() time.Duration { return node.settings.Load().RevokeTime - revokeMargin }

func limitMemory(settings Settings) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
}

// open builds the path of a call and opens the addresses.
func (node *Node) open(boot clock.Boot) error {
	settings := node.settings.Load()
	node.client = backend.New(node.platform.Codec)
	delivery := forward.NewDelivery(forward.Dependencies{
		Backends: backends{node.client}, Directory: node.sharedState, Observations: node.observations, Clock: boot, Usage: node.usageCounter, Demand: node.demand,
		RetryBudgets: node.budgets, CrashTracker: node.crashTracker,
		Revocation: forward.NewRevocation(node.sharedState, node.maxRoutesAge),
	})
	metrics, journal := telemetry.NewMetrics(), request.NewRecentResults(recentResultsSize)
	metrics.Gauge("requests_in_progress", func() float64 { return float64(node.gate.InProgress()) })
	metrics.Gauge("config_version", func() float64 { return float64(node.sharedState.Routes().Version()) })
	metrics.Gauge("config_age_seconds", func() float64 { return node.sharedState.RoutesAge().Seconds() })
	handler := request.Chain(delivery,
		request.RecordResults(metrics, telemetry.NewCallLog(node.logger), journal),
		node.gate.Filter(),
		forward.Match(node.sharedState),
		node.limits.Limit(),
		forward.RefuseCrashing(node.crashTracker))
	var err error
	if node.ingress, err = ingress.Listen(settings.FrontAddress, node.platform.Codec, node.sharedState, handler); err != nil {
		return err
	}
	if node.peerServer, err = wireshare.Listen(settings.PeerAddress, node.syncer); err != nil {
		return err
	}
	node.statusServer, err = listenStatusServer(settings.ReadyAddress, node.platform.ReadyPath, node.Ready, metrics)
	return err
}

// Ready reports whether the platform's balancer should send callers.
func (node *Node) Ready() bool {
	return node.lifecycle.Ready() && node.sharedState.RoutesAge() < node.maxRoutesAge()
}

// Run serves until the context ends, then finishes the accepted calls.
//
// It returns the first error of a part, after all parts have stopped.
func (node *Node) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := control.NewGroup(serving)
	reader := share.NewStoreReader(node.sharedState, node.platform.Directory, node.logger)
	group.Go(reader.RunRoutes)
	group.Go(reader.RunServers)
	group.Go(node.syncer.Run)
	group.Go(node.peerServer.Serve)
	group.Go(node.statusServer.serve)
	group.Go(node.ingress.Serve)
	group.Go(func(serving context.Context) error {
		// The duty is given up at the signal to stop, so that another entry takes it at once.
		holding, release := context.WithCancel(serving)
		defer release()
		defer context.AfterFunc(ctx, release)()
		return node.runDuties(holding)
	})
	group.Go(func(serving context.Context) error {
		defer stop()
		return node.awaitStop(ctx, serving)
	})
	node.logger.Info().Str("FrontAddress", node.ingress.Address()).Str("PeerAddress", node.settings.Load().PeerAddress).
		Strs("Seeds", node.Seeds()).Msg("serving")
	return group.Wait()
}

// awaitStop finishes the accepted calls once ctx has ended.
func (node *Node) awaitStop(ctx, serving context.Context) error {
	select {
	case <-ctx.Done():
	case <-serving.Done():
		return nil
	}
	node.logger.Info().Int("InProgress", node.gate.InProgress()).Msg("stopping")
	node.sharedState.UpdateSelf(func(record cluster.EntryState) cluster.EntryState {
		record.Stopping = true
		return record
	})
	node.ingress.DisableKeepAlives()
	finished, err := node.lifecycle.Stop(serving, node.gate, stopDelay, node.settings.Load().StopTime-stopDelay-stopMargin)
	node.logger.Info().Bool("Finished", finished).Msg("stopped")
	return err
}
