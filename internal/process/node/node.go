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
	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
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
	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/ingress"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// stepStopping is the step of the refusals of calls that the entry, which is stopping, could not finish.
const stepStopping = "stopping"

const (
	// revokeMargin is subtracted from [Settings.RevokeTime]. The difference is the maximum age of a configuration
	// with which calls with an access key are admitted.
	revokeMargin = 250 * time.Millisecond
	// stopDelay is the time between the signal to stop and the refusal of new calls. Within
	// this time the platform's balancer detects that the entry is not ready, and connections
	// are closed after their next answer.
	stopDelay = 2800 * time.Millisecond
	// stopMargin is the part of [Settings.StopTime] that is reserved for ending the process.
	stopMargin = 900 * time.Millisecond
	// memoryShare is the fraction of [Settings.MemoryBytes] that the Go runtime may use. The remainder is
	// for the program itself and for data in the kernel's buffers.
	memoryShare = 0.7
	// bodyMemoryShare is the fraction of [Settings.MemoryBytes] for the bodies of all calls in progress. The runtime needs as much again
	// for bodies that it has not collected yet.
	bodyMemoryShare = 0.35
)

// Codec encodes and decodes the header fields of calls and answers.
type Codec interface {
	ingress.Codec
	backend.Codec
}

// Platform contains the dependencies of an entry that differ between platforms.
type Platform struct {
	Codec Codec
	// Directory reads the configuration and the list of servers, which StoreCodec encodes and decodes.
	Directory  share.Store
	StoreCodec share.Codec
	// Store stores the leases and the counts of usage windows.
	Store interface {
		metadata.Store
		duties.FleetSizeStore
		// GetStale is Get for an item that may be some seconds old.
		GetStale(ctx context.Context, key string) (metadata.Item, int64, error)
	}
	// Cloud is the cloud API, which accepts usage reports and orders for servers.
	Cloud interface {
		duties.UsageAPI
		duties.CapacityAPI
	}
	// Events is the form of the events of streaming routes.
	Events eventstream.Grammar
	// ReadyPath is the path of the health checks of the platform's balancer.
	ReadyPath string
}

// LogBuffer is the buffer between the entry and the reader of its log.
type LogBuffer interface {
	// Dropped returns the number of lines that were dropped because the reader of the log was too slow.
	Dropped() int64
}

// Node is one entry process.
type Node struct {
	// settings are replaced by [Node.Reload], and started are those of the start.
	settings     *rcu.Cell[Settings]
	started      Settings
	platform     Platform
	logger       zerolog.Logger
	lifecycle    *lifecycle.Lifecycle
	gate         *request.Gate
	stopping     *forward.Stopping
	sharedState  *share.SharedState
	syncer       *share.Syncer
	limits       *forward.Limits
	sharing      *forward.Sharing
	observations *forward.Observations
	retryBudgets *forward.RetryBudgets
	demand       *forward.Demand
	crashes      *forward.Crashes
	partCrashes  *forward.PartCrashes
	usageCounter *usageCounter
	metrics      *telemetry.Metrics
	failures     *telemetry.ServerFailures
	// loggedAggregators contains the names of the aggregators that were logged last.
	loggedAggregators []string
	// loggedParts are the refused parts of prompts that were logged last.
	loggedParts []suspect.PartFingerprint
	// prunedGeneration is the generation of the server list for which stale connections and metrics were last removed.
	prunedGeneration uint64
	// elector is nil if the settings enable no task of the duty.
	elector      *duty.Elector
	client       *backend.Client
	ingress      *ingress.Server
	peerServer   *wireshare.Server
	statusServer *statusServer
	// metricsServer is nil without [Settings.MetricsAddress].
	metricsServer *statusServer
}

// New returns an entry that listens on its addresses; [Node.Run] serves them.
func New(settings Settings, platform Platform, logger zerolog.Logger, logBuffer LogBuffer) (*Node, error) {
	limitMemory(settings)
	boot := clock.Boot{}
	self := cluster.EntryState{Member: cluster.Member{
		Name: settings.Name, Address: settings.PeerAddress, Domain: settings.Domain, Incarnation: time.Now().UnixNano(), Cores: settings.Cores,
	}}
	node := &Node{
		settings:     rcu.New(settings),
		started:      settings,
		platform:     platform,
		logger:       logger,
		lifecycle:    lifecycle.New(),
		gate:         request.NewGate(),
		stopping:     forward.NewStopping(),
		sharedState:  share.NewSharedState(boot, platform.StoreCodec, self),
		limits:       forward.NewLimits(boot),
		observations: forward.NewObservations(),
		demand:       forward.NewDemand(boot),
		sharing:      forward.NewSharing(boot),
		// Until the first HandleClusterUpdate, the number of seeds is the estimate of the number of entries.
		retryBudgets: forward.NewRetryBudgets(settings.RetryAllowance / math.Max(1, float64(len(settings.Seeds)))),
		crashes:      forward.NewCrashes(),
		partCrashes:  forward.NewPartCrashes(),
		metrics:      telemetry.NewMetrics(),
	}
	node.limits.SetWindow(quota.Window{Length: settings.QuotaWindow, Over: settings.QuotaOver, Slack: settings.QuotaSlack})
	node.failures = telemetry.NewServerFailures(node.metrics)
	node.usageCounter = newUsageCounter(node.sharedState, settings.UsageWindow)
	node.elector = newElector(node, settings, platform)
	node.addGauges(logBuffer)
	node.syncer = share.NewSyncer(node.sharedState, wireshare.NewClient(), node, node)
	return node, node.open(boot)
}

// Reload replaces the settings. Those that [Settings.RestartNeeded] names stay as they were at the start, with a warning.
func (node *Node) Reload(settings Settings) {
	limitMemory(settings)
	node.limitBodyMemory(settings)
	node.settings.Store(settings)
	event := node.logger.Info()
	if names := settings.RestartNeeded(node.started); len(names) > 0 {
		event = node.logger.Warn().Strs("RestartNeeded", names)
	}
	event.Strs("Seeds", settings.Seeds).Msg("settings reloaded")
}

// Seeds returns the peer addresses of some entries, which may be down.
func (node *Node) Seeds() []string { return node.settings.Load().Seeds }

// maxRoutesAge returns the age of the configuration up to which calls with an access key are admitted.
func (node *Node) maxRoutesAge() time.Duration { return node.settings.Load().RevokeTime - revokeMargin }

// limitMemory limits the memory of the Go runtime, unless the settings contain no limit.
func limitMemory(settings Settings) {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
}

// limitBodyMemory limits the memory of the bodies of calls, unless the settings contain no limit.
func (node *Node) limitBodyMemory(settings Settings) {
	if settings.MemoryBytes > 0 {
		node.ingress.LimitBodyMemory(int64(float64(settings.MemoryBytes) * bodyMemoryShare))
	}
}

// open builds the pipeline of calls and opens the addresses.
func (node *Node) open(boot clock.Boot) error {
	settings := node.settings.Load()
	node.client = backend.New(node.platform.Codec)
	delivery := forward.NewDelivery(forward.Dependencies{
		Backends: backends{node.client}, Directory: node.sharedState, Observations: node.observations, Clock: boot, Usage: node.usageCounter, Demand: node.demand, Notices: noticeRecorder{node.metrics, node.logger}, Failures: node.failures,
		RetryBudgets: node.retryBudgets, Admission: forward.NewAdmission(boot), Sharing: node.sharing, Crashes: node.crashes, PartCrashes: node.partCrashes,
		Revocation: forward.NewRevocation(node.sharedState, node.maxRoutesAge), Events: node.platform.Events,
	})
	recorder := request.Recorders{node.metrics, telemetry.NewCallLog(node.logger)}
	handler := request.Chain(delivery,
		request.RecordResults(recorder),
		request.RefusalStep(request.StepGate), node.gate.Filter(),
		request.RefusalStep(forward.StepMatch), forward.Match(node.sharedState),
		request.RefusalStep(stepStopping), node.stopping.Filter(),
		request.RefusalStep(forward.StepLimit), node.limits.Filter(),
		request.RefusalStep(forward.StepCrashing), node.crashes.Filter(), node.partCrashes.Filter(),
		request.RefusalStep(forward.StepDeliver))
	var err error
	if node.ingress, err = ingress.Listen(settings.FrontAddress, node.platform.Codec, node.sharedState, handler, recorder); err != nil {
		return err
	}
	node.limitBodyMemory(settings)
	if node.peerServer, err = wireshare.Listen(settings.PeerAddress, wireshare.NewUsageFilter(node.syncer, node.sharedState, settings.UsageWindow, node)); err != nil {
		return err
	}
	if node.statusServer, err = listenStatusServer(settings.ReadyAddress, node.platform.ReadyPath, node.Ready, node.metrics); err != nil {
		return err
	}
	if settings.MetricsAddress == "" {
		return nil
	}
	// An entry serves without this address, which is not one that the platform keeps free.
	if node.metricsServer, err = listenStatusServer(settings.MetricsAddress, node.platform.ReadyPath, node.Ready, node.metrics); err != nil {
		node.logger.Warn().Err(err).Msg("could not open the address for metrics; they are at the readiness address only")
	}
	return nil
}

// Ready reports whether the platform's balancer should send calls to this entry.
func (node *Node) Ready() bool {
	return node.lifecycle.Ready() && node.sharedState.RoutesAge() < node.maxRoutesAge()
}

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
