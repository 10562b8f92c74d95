package serve

import (
	"context"
	"math/rand/v2"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/lifecycle"
	"github.com/rosemaryspar/rosemaryspar/internal/process/settings"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/caller"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/operator"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

// journalSize is how many recent requests an operator can ask about.
const journalSize = 1024

// Entry is one entry process.
type Entry struct {
	settings  settings.Settings
	logger    zerolog.Logger
	life      *lifecycle.Lifecycle
	gate      *request.Gate
	snapshots *Snapshots
	callers   *caller.Server
	operators *operator.Server
}

// New builds an entry and opens its addresses.
func New(settings settings.Settings, logger zerolog.Logger) (*Entry, error) {
	telemetry.RedirectHertz(logger)
	entry := &Entry{
		settings:  settings,
		logger:    logger,
		life:      lifecycle.New(),
		gate:      request.NewGate(),
		snapshots: NewSnapshots(),
	}
	metrics, journal := telemetry.NewMetrics(), request.NewJournal(journalSize)
	metrics.Gauge("requests_in_progress", func() float64 { return float64(entry.gate.InProgress()) })
	metrics.Gauge("config_revision", func() float64 { return float64(entry.snapshots.View().Config.Revision()) })
	var err error
	entry.callers, err = caller.Listen(settings.CallerAddress, settings.MaxBodyBytes, entry.path(metrics, journal))
	if err != nil {
		return nil, err
	}
	entry.operators, err = operator.Listen(settings.OperatorAddress, operator.Parts{
		Name:      settings.Name,
		Operators: settings.Operators,
		Life:      entry.life,
		Views:     entry.snapshots,
		Journal:   journal,
		Metrics:   metrics,
		Logger:    logger,
	})
	return entry, err
}

// path returns the request path of the entry.
func (entry *Entry) path(metrics *telemetry.Metrics, journal *request.Journal) request.Handler {
	return request.Chain(
		request.Dispatch(engine.New(entry.settings.DialTimeout), service.New(entry.settings.DialTimeout)),
		entry.gate.Filter(),
		request.Settle(metrics, journal, telemetry.NewRequestLog(entry.logger)),
		request.Identify(entry.snapshots),
		request.Choose(random{}),
	)
}

// CallerAddress returns the address that callers use.
func (entry *Entry) CallerAddress() string { return entry.callers.Address() }

// OperatorAddress returns the address that operators use.
func (entry *Entry) OperatorAddress() string { return entry.operators.Address() }

// Snapshots returns the end of the control paths.
func (entry *Entry) Snapshots() *Snapshots { return entry.snapshots }

// Run serves until the context ends, then finishes the accepted requests.
//
// It returns the first error of a part, after all parts have stopped.
func (entry *Entry) Run(ctx context.Context) error {
	// The servers outlive ctx, so that accepted requests can be finished.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return entry.callers.Serve(serving) })
	group.Go(func() error { return entry.operators.Serve(serving) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		entry.logger.Info().Int("InProgress", entry.gate.InProgress()).Msg("stopping")
		finished, err := entry.life.Stop(serving, entry.gate, entry.settings.StopDelay, entry.settings.StopTimeout)
		entry.logger.Info().Bool("Finished", finished).Msg("stopped")
		return err
	})
	if err := entry.life.Loaded(); err != nil {
		return err
	}
	entry.logger.Info().Str("CallerAddress", entry.CallerAddress()).Str("OperatorAddress", entry.OperatorAddress()).Msg("serving")
	return group.Wait()
}

// random draws from the source of the whole process, which several threads may use at once.
type random struct{}

// IntN returns a random number in [0, n).
func (random) IntN(n int) int { return rand.IntN(n) }
