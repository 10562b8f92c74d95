package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	pipeconfig "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

const (
	// configLayout is the prefix of the configuration's keys in the key-value service.
	configLayout pipeconfig.Layout = "rosemaryspar/config"
	// checkpointID marks a change that stands for a whole set.
	checkpointID = "checkpoint"
	// maxHeld is how many changes are held for peers that lag; without a bound they
	// took 10 MB a day at 11,000 changes a day.
	maxHeld = 1000
	// loadRetry is the wait before the configuration is loaded again after a failure.
	loadRetry = time.Second
	// verifyInterval is the time between reads that find what a watch missed. At
	// 420 entries they come to 42 of the service's 2,000 reads a second.
	verifyInterval = 10 * time.Second
)

// configuration is the control path of the configuration: log -> order -> decode -> apply -> publish.
type configuration struct {
	follow    *control.LogFollower
	loader    *pipeconfig.Loader
	log       *kvlog.Log
	history   *pipeconfig.History
	snapshots *Snapshots
	logger    zerolog.Logger
	// verified is when the log was last seen to hold nothing newer.
	verified *rcu.Cell[time.Time]
	// loaded is called once a configuration, maybe an empty one, is in force.
	loaded func()
}

// newConfiguration returns the path that ends in snapshots.
func newConfiguration(client *kv.Client, follow *control.LogFollower, snapshots *Snapshots, logger zerolog.Logger, loaded func()) *configuration {
	log, history := kvlog.New(client, configLayout.LogPrefix()), pipeconfig.NewHistory()
	return &configuration{
		follow:    follow,
		loader:    pipeconfig.NewLoader(client, log, configLayout, history),
		log:       log,
		history:   history,
		snapshots: snapshots,
		logger:    logger,
		verified:  rcu.New(time.Time{}),
		loaded:    loaded,
	}
}

// Age returns how long ago the entry last knew that its configuration was the newest.
func (configuration *configuration) Age() time.Duration {
	return time.Since(configuration.verified.Load())
}

// start adds the stages to group.
func (configuration *configuration) start(group *control.Group) {
	ordered := configuration.follow.Stage(group, control.Read(group, configuration))
	group.Go(func(context.Context) error {
		for entry := range ordered {
			configuration.apply(entry)
		}
		return nil
	})
}

// Run sends the newest checkpoint and then each change; it starts again when the log was truncated past it.
func (configuration *configuration) Run(ctx context.Context, out chan<- control.LogEntry) error {
	for ctx.Err() == nil {
		err := configuration.read(ctx, out)
		if ctx.Err() == nil {
			configuration.logger.Warn().Err(err).Msg("reading the configuration failed")
			_ = pause.For(ctx, loadRetry)
		}
	}
	return nil
}

func (configuration *configuration) read(ctx context.Context, out chan<- control.LogEntry) error {
	loaded, err := configuration.loader.Load(ctx)
	if err != nil {
		return err
	}
	configuration.verified.Store(time.Now())
	if loaded.Set.Revision() > 0 {
		data, err := document.Encode(loaded.Set.Change().WithID(checkpointID))
		if err != nil {
			return err
		}
		if !sendEntry(ctx, out, control.LogEntry{Number: loaded.Set.Revision(), Checkpoint: true, Data: data}) {
			return ctx.Err()
		}
	}
	configuration.loaded()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go configuration.verify(ctx, out)
	return configuration.log.Follow(ctx, loaded.Tail, func(entry kvlog.Entry) error {
		sendEntry(ctx, out, control.LogEntry{Number: entry.Number, Data: entry.Payload})
		return ctx.Err()
	})
}

// verify reads the end of the log from time to time, since a watch can fall silent without an error.
func (configuration *configuration) verify(ctx context.Context, out chan<- control.LogEntry) {
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		tail, err := configuration.log.Read(ctx, configuration.follow.Revision()+1)
		if err != nil {
			continue
		}
		configuration.verified.Store(time.Now())
		for _, entry := range tail.Entries {
			sendEntry(ctx, out, control.LogEntry{Number: entry.Number, Data: entry.Payload})
		}
	}
}

// apply puts a change in force; one that cannot be applied is logged and passed over at every entry alike.
func (configuration *configuration) apply(entry control.LogEntry) {
	set, err := configuration.next(entry)
	if err == nil {
		err = configuration.snapshots.PublishConfig(set)
	}
	if err != nil {
		configuration.logger.Error().Err(err).Int64("Revision", entry.Number).Msg("a change could not be applied")
		return
	}
	configuration.loaded()
	configuration.logger.Info().Int64("Revision", set.Revision()).Msg("configuration in force")
	if configuration.follow.RetainedEntries() >= maxHeld {
		configuration.checkpoint(set)
	}
}

// checkpoint replaces the changes that are held for peers by the set that they led to.
func (configuration *configuration) checkpoint(set config.Set) {
	data, err := document.Encode(set.Change().WithID(checkpointID))
	if err != nil {
		configuration.logger.Error().Err(err).Msg("a set could not be encoded")
		return
	}
	configuration.follow.Compact(control.LogEntry{Number: set.Revision(), Checkpoint: true, Data: data})
}

// next returns the set after a log entry.
func (configuration *configuration) next(entry control.LogEntry) (config.Set, error) {
	change, err := document.Decode(entry.Data)
	if err != nil {
		return config.Set{}, fmt.Errorf("revision %d: %w", entry.Number, err)
	}
	if entry.Checkpoint {
		return config.Set{}.WithChange(change), nil
	}
	before := configuration.snapshots.View().Config
	set, err := before.WithNext(change)
	if err == nil {
		configuration.history.Record(before, change)
	}
	return set, err
}

func sendEntry(ctx context.Context, out chan<- control.LogEntry, entry control.LogEntry) bool {
	select {
	case out <- entry:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkpoints returns the duty of keeping the log short, which the holder of a lease performs.
func checkpoints(client *kv.Client, log *kvlog.Log, snapshots *Snapshots, holder string) *pipeconfig.Checkpointer {
	leases := pipeconfig.NewKVLeases(client, configLayout.LeaseKey(), holder)
	return pipeconfig.NewCheckpointer(client, log, leases, snapshots, configLayout, pipeconfig.DefaultCheckpointPolicy())
}
