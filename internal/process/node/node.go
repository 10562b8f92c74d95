package node

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
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

// revokeMargin is subtracted from [Settings.RevokeTime]. The difference is the maximum age of a configuration
// with which calls with an access key are admitted.
const revokeMargin = 250 * time.Millisecond

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
		duties.ItemStore
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
	settings.limits().LimitRuntime()
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
	limits := settings.limits()
	limits.LimitRuntime()
	node.limitClients(limits)
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

// Ready reports whether the platform's balancer should send calls to this entry.
func (node *Node) Ready() bool {
	return node.lifecycle.Ready() && node.sharedState.RoutesAge() < node.maxRoutesAge() && node.rollouts.HasConfirmed(node.sharedState.Servers())
}
