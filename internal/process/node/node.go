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
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
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
	// minRuntimeMemory is the lowest limit of the Go runtime in bytes; with less, it would do nothing but collect garbage.
	minRuntimeMemory = 16 << 20
	// stopDelay is the time between the signal to stop and the refusal of new calls. Within
	// this time the platform's balancer detects that the entry is not ready, and connections
	// are closed after their next answer.
	stopDelay = 2800 * time.Millisecond
	// stopMargin is the part of [Settings.StopTime] that is reserved for ending the process.
	stopMargin = 900 * time.Millisecond
	// memoryShare is the fraction of [Settings.MemoryBytes] that the Go runtime may use. The remainder is
	// for the program itself and for data in the kernel's buffers. It is at least programMemory.
	memoryShare = 0.7
	// programMemory is the memory of the program itself that does not belong to the Go runtime, with a margin for what the runtime exceeds its
	// limit by, in bytes.
	programMemory = 26 << 20
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
		// Status is what the client knows of restores of the store from a backup.
		Status() metadata.StoreStatus
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
	// RolloutCodec encodes and decodes the records of roll-outs.
	RolloutCodec duties.RolloutCodec
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
	estimates    *forward.Estimates
	retryBudgets *forward.RetryBudgets
	demand       *forward.Demand
	crashes      *forward.Crashes
	partCrashes  *forward.PartCrashes
	// rollouts is nil if the settings do not enable roll-outs.
	rollouts     *forward.Rollouts
	usageCounter *usageCounter
	// reported are the usage windows that some entry has reported, as far as this one knows.
	reported *rcu.Cell[usage.Reported]
	metrics  *telemetry.Metrics
	failures *telemetry.ServerFailures
	// loggedAggregators contains the names of the aggregators that were logged last.
	loggedAggregators []string
	// loggedStatus is the status of the store that was logged last.
	loggedStatus metadata.StoreStatus
	// loggedParts are the refused parts of prompts that were logged last.
	loggedParts []suspect.PartFingerprint
	// loggedRollouts are the malformed orders and records of roll-outs that were logged last.
	loggedRollouts []string
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
		reported:     rcu.New(usage.Reported{}),
		metrics:      telemetry.NewMetrics(),
	}
	node.estimates = forward.NewEstimates(workRecorder{node.metrics})
	node.limits.SetWindow(quota.Window{Length: settings.QuotaWindow, Over: settings.QuotaOver, Slack: settings.QuotaSlack})
	node.failures = telemetry.NewServerFailures(node.metrics)
	if settings.RollsOut {
		node.rollouts = forward.NewRollouts(node.sharedState, func() float64 { return node.settings.Load().ExposeShare }, rolloutRecorder{node.metrics, logger})
	}
	node.usageCounter = newUsageCounter(node.sharedState, settings.UsageWindow)
	node.elector = newElector(node, settings, platform)
	node.addGauges(logBuffer)
	node.syncer = share.NewSyncer(node.sharedState, wireshare.NewClient(), node, node)
	return node, node.open(boot)
}

// Reload replaces the settings. Those that [Settings.RestartNeeded] names stay as they were at the start, with a warning.
func (node *Node) Reload(settings Settings) {
	limitMemory(settings)
	node.limitClients(settings)
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
		limit := min(int64(float64(settings.MemoryBytes)*memoryShare), settings.MemoryBytes-programMemory)
		debug.SetMemoryLimit(max(limit, minRuntimeMemory))
	}
}

// open builds the pipeline of calls and opens the addresses.
func (node *Node) open(boot clock.Boot) error {
	settings := node.settings.Load()
	node.client = backend.New(node.platform.Codec)
	delivery := forward.NewDelivery(forward.Dependencies{
		Backends: backends{node.client}, Directory: node.sharedState, Observations: node.observations, Clock: boot,
		Usage: node.usageCounter, Demand: node.demand, Notices: noticeRecorder{node.metrics, node.logger}, Failures: node.failures,
		RetryBudgets: node.retryBudgets, Admission: forward.NewAdmission(boot), Sharing: node.sharing, Crashes: node.crashes, PartCrashes: node.partCrashes,
		Estimates: node.estimates, Rollouts: node.rollouts,
		Revocation: forward.NewRevocation(node.sharedState, node.maxRoutesAge), Events: node.platform.Events,
	})
	explaining := &explainHandler{explainer: forward.NewExplainer(node.sharedState, node.limits, delivery)}
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
	if node.peerServer, err = wireshare.Listen(settings.PeerAddress, wireshare.NewUsageFilter(node.syncer, node.sharedState, settings.UsageWindow, node)); err != nil {
		return err
	}
	if node.statusServer, err = listenStatusServer(settings.ReadyAddress, node.platform.ReadyPath, node.Ready, node.metrics, explaining); err != nil {
		return err
	}
	// An entry serves without this address, which is not one that the platform keeps free.
	if settings.MetricsAddress == "" {
		node.guardClients(settings)
		return nil
	}
	if node.metricsServer, err = listenStatusServer(settings.MetricsAddress, node.platform.ReadyPath, node.Ready, node.metrics, explaining); err != nil {
		node.logger.Warn().Err(err).Msg("could not open the address for metrics; they are at the readiness address only")
	}
	node.guardClients(settings)
	return nil
}

// Ready reports whether the platform's balancer should send calls to this entry.
func (node *Node) Ready() bool {
	return node.lifecycle.Ready() && node.sharedState.RoutesAge() < node.maxRoutesAge() && node.rollouts.HasConfirmed(node.sharedState.Servers())
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
