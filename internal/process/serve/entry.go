package serve

import (
	"context"
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

// journalSize is how many recent requests an operator can ask about.
const journalSize = 1024

// Entry is one entry process.
type Entry struct {
	settings   settings.Settings
	logger     zerolog.Logger
	life       *lifecycle.Lifecycle
	gate       *request.Gate
	snapshots  *Snapshots
	suspects   request.Suspects
	store      *kv.Client
	membership *gossipNode
	config     *configuration
	ledger     *booking.Ledger
	// forwarded is the path of orders that other entries forward to this one.
	forwarded request.Handler
	departure *departure
	callers   *caller.Server
	operators *operator.Server
}

// New builds an entry and opens its addresses.
func New(settings settings.Settings, logger zerolog.Logger) (*Entry, error) {
	entry := &Entry{
		settings:  settings,
		logger:    logger,
		life:      lifecycle.New(),
		gate:      request.NewGate(),
		snapshots: NewSnapshots(),
		suspects:  request.NewSuspects(),
	}
	if err := entry.openControl(); err != nil {
		return nil, err
	}
	metrics, journal := entry.newMetrics(), request.NewRecentResults(journalSize)
	callers, forwarded := entry.paths(metrics, journal)
	entry.forwarded = forwarded
	var err error
	entry.callers, err = caller.Listen(settings.CallerAddress, settings.MaxBodyBytes, callers)
	if err != nil {
		return nil, err
	}
	entry.operators, err = operator.Listen(settings.OperatorAddress, operator.Dependencies{
		Name:          settings.Name,
		Operators:     settings.Operators,
		Readiness:     entry.life,
		Views:         entry.snapshots,
		RecentResults: journal,
		Metrics:       metrics,
		Logger:        logger,
		Committer:     pipeconfig.NewCommitter(entry.config.log, entry.snapshots, noUses{}, entry.config.history),
		History:       entry.config.history,
		Entries:       entry.membership,
		ConfigAge:     entry.config,
		Quarantine:    entry.suspects,
	})
	return entry, err
}

// openControl builds the control paths.
func (entry *Entry) openControl() error {
	storeSettings := kv.DefaultSettings(entry.settings.KVAddresses...)
	storeSettings.CallsPerSecond = float64(entry.settings.KVCallsPerSecond)
	entry.store = kv.New(storeSettings)
	var err error
	entry.membership, err = newGossipNode(entry.settings, entry.snapshots)
	if err != nil {
		return err
	}
	follow := control.NewLogFollower(entry.membership.state, entry.membership.client, random{})
	entry.config = newConfiguration(entry.store, follow, entry.snapshots, entry.logger, entry.ready)
	entry.ledger = newLedger(entry.store, entry.membership)
	entry.departure = newDeparture(entry.settings, entry.membership)
	return nil
}

// ready makes the entry ready for requests; it may be called again.
func (entry *Entry) ready() {
	if err := entry.life.SetReady(); err != nil {
		entry.logger.Error().Err(err).Msg("becoming ready failed")
	}
}

func (entry *Entry) newMetrics() *telemetry.Metrics {
	metrics := telemetry.NewMetrics()
	metrics.Gauge("requests_in_progress", func() float64 { return float64(entry.gate.InProgress()) })
	metrics.Gauge("config_revision", func() float64 { return float64(entry.snapshots.Set().Revision()) })
	metrics.Gauge("config_age_seconds", func() float64 { return entry.config.Age().Seconds() })
	metrics.Gauge("entries_live", func() float64 { return float64(len(entry.membership.state.Load().View().Live())) })
	return metrics
}

// CallerAddress returns the address that callers use.
func (entry *Entry) CallerAddress() string { return entry.callers.Address() }

// OperatorAddress returns the address that operators use.
func (entry *Entry) OperatorAddress() string { return entry.operators.Address() }

// Run serves until the context ends, then finishes the accepted requests.
//
// It returns the first error of a part, after all parts have stopped.
func (entry *Entry) Run(ctx context.Context) error {
	// The parts outlive ctx, so that accepted requests can be finished.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := control.NewGroup(serving)
	group.Go(entry.callers.Serve)
	group.Go(entry.operators.Serve)
	entry.membership.start(group, entry.config.follow, shardLeader{leaders{entry.membership}, entry.forwarded}, entry.departure.handover.Holder())
	group.Go(news{entry.membership, entry.snapshots, entry.suspects.Tracker}.Run)
	entry.config.start(group)
	group.Go(loads{entry.snapshots, loadreport.New(entry.settings.DialTimeout)}.Run)
	group.Go(entry.runLedger)
	group.Go(entry.runCheckpoints)
	if entry.settings.VMListURL != "" {
		if err := startVMList(group, entry.settings.VMListURL, entry.membership, entry.departure, entry.logger); err != nil {
			stop()
			return err
		}
	}
	group.Go(func(serving context.Context) error {
		defer stop()
		return entry.awaitStop(ctx, serving)
	})
	entry.logger.Info().Str("CallerAddress", entry.CallerAddress()).Str("OperatorAddress", entry.OperatorAddress()).
		Str("PeerAddress", entry.membership.listener.Addr().String()).Msg("serving")
	return group.Wait()
}

// awaitStop finishes the accepted requests once ctx has ended.
func (entry *Entry) awaitStop(ctx, serving context.Context) error {
	select {
	case <-ctx.Done():
	case <-entry.departure.noticed:
	case <-serving.Done():
		return nil
	}
	entry.logger.Info().Int("InProgress", entry.gate.InProgress()).Msg("stopping")
	entry.membership.state.Update(membership.State.WithLeaving)
	delay, timeout := entry.departure.times(time.Now())
	handedOver := entry.departure.begin(serving, delay+timeout)
	finished, err := entry.life.Stop(serving, entry.gate, delay, timeout)
	handedOver()
	entry.logger.Info().Bool("Finished", finished).Msg("stopped")
	return err
}

// runLedger commits bookings until the entry stops, which is no error.
func (entry *Entry) runLedger(ctx context.Context) error {
	_ = entry.ledger.Run(ctx)
	return nil
}

func (entry *Entry) runCheckpoints(ctx context.Context) error {
	duty := checkpoints(entry.store, entry.config.log, entry.snapshots, entry.membership.holder())
	_ = duty.Run(ctx, func(revision int64, err error) {
		if err != nil || revision > 0 {
			entry.logger.Info().Err(err).Int64("Revision", revision).Msg("configuration checkpoint")
		}
	})
	return nil
}

// noUses reports no use of limits; entries do not add up their uses yet.
type noUses struct{}

// Usage returns the zero value.
func (noUses) Usage() config.Usage { return config.Usage{} }

// random draws from the source of the whole process, which several threads may use at once.
type random struct{}

// IntN returns a random number in [0, n).
func (random) IntN(n int) int { return rand.IntN(n) }
