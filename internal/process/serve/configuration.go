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
	// configLayout is the key prefix of the configuration in the key-value service.
	configLayout pipeconfig.Layout = "rosemaryspar/config"
	// checkpointID is the ID of a change that contains a complete configuration set.
	checkpointID = "checkpoint"
	// maxRetainedEntries bounds the log entries retained for peers that lag. Without a bound
	// they took 10 MB a day at 11,000 changes a day.
	maxRetainedEntries = 1000
	// loadRetryDelay is the delay between a failure to read the configuration and the next load.
	loadRetryDelay = time.Second
	// verifyInterval is the time between two reads that find the log entries which a watch missed.
	// With 420 entry processes, these reads make up 42 of the key-value service's 2,000 reads a second.
	verifyInterval = 10 * time.Second
)

// configPath is the control path of the configuration. Its stages read the log of changes, order the log entries,
// decode and apply each change, and publish the resulting configuration set.
type configPath struct {
	follower  *control.LogFollower
	loader    *pipeconfig.Loader
	log       *kvlog.Log
	history   *pipeconfig.History
	snapshots *Snapshots
	logger    zerolog.Logger
	// verifiedAt is when this entry process last read the log up to its end.
	verifiedAt *rcu.Cell[time.Time]
	// onLoaded is called each time a configuration or a change has been put in force, and when the key-value service has
	// no configuration yet.
	onLoaded func()
}

// newConfigPath returns a path that publishes the configuration to snapshots.
func newConfigPath(client *kv.Client, follower *control.LogFollower, snapshots *Snapshots, logger zerolog.Logger, onLoaded func()) *configPath {
	log, history := kvlog.New(client, configLayout.LogPrefix()), pipeconfig.NewHistory()
	return &configPath{
		follower:   follower,
		loader:     pipeconfig.NewLoader(client, log, configLayout, history),
		log:        log,
		history:    history,
		snapshots:  snapshots,
		logger:     logger,
		verifiedAt: rcu.New(time.Time{}),
		onLoaded:   onLoaded,
	}
}

// Age returns the time since this entry last read the log up to its end, which bounds the staleness of its
// configuration.
func (configPath *configPath) Age() time.Duration {
	return time.Since(configPath.verifiedAt.Load())
}

// start adds the stages to group.
func (configPath *configPath) start(group *control.Group) {
	ordered := configPath.follower.Stage(group, control.Read(group, configPath))
	group.Go(func(context.Context) error {
		for entry := range ordered {
			configPath.apply(entry)
		}
		return nil
	})
}

// Run sends the latest checkpoint and then each log entry until ctx ends.
//
// After an error, such as a log that was truncated beyond the last entry read, it loads the checkpoint again.
func (configPath *configPath) Run(ctx context.Context, out chan<- control.LogEntry) error {
	for ctx.Err() == nil {
		err := configPath.loadAndFollow(ctx, out)
		if ctx.Err() == nil {
			configPath.logger.Warn().Err(err).Msg("could not read the configuration from the key-value service; retrying")
			_ = pause.For(ctx, loadRetryDelay)
		}
	}
	return nil
}

// loadAndFollow sends the latest configuration set as a checkpoint, and then the log entries after it.
//
// It returns when reading fails or ctx ends.
func (configPath *configPath) loadAndFollow(ctx context.Context, out chan<- control.LogEntry) error {
	loaded, err := configPath.loader.Load(ctx)
	if err != nil {
		return err
	}
	configPath.verifiedAt.Store(time.Now())
	if loaded.Set.Revision() == 0 {
		configPath.onLoaded()
	} else {
		// The stage that puts the set in force calls onLoaded.
		data, err := document.Encode(loaded.Set.Change().WithID(checkpointID))
		if err != nil {
			return err
		}
		if !sendEntry(ctx, out, control.LogEntry{Number: loaded.Set.Revision(), Checkpoint: true, Data: data}) {
			return ctx.Err()
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go configPath.verify(ctx, out)
	return configPath.log.Follow(ctx, loaded.Tail, func(entry kvlog.Entry) error {
		sendEntry(ctx, out, control.LogEntry{Number: entry.Number, Data: entry.Payload})
		return ctx.Err()
	})
}

// verify reads the end of the log every verifyInterval, because a watch can stop delivering events without
// returning an error.
func (configPath *configPath) verify(ctx context.Context, out chan<- control.LogEntry) {
	ticker := time.NewTicker(verifyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		tail, err := configPath.log.Read(ctx, configPath.follower.Revision()+1)
		if err != nil {
			continue
		}
		configPath.verifiedAt.Store(time.Now())
		for _, entry := range tail.Entries {
			sendEntry(ctx, out, control.LogEntry{Number: entry.Number, Data: entry.Payload})
		}
	}
}

// apply puts a change in force. A change that cannot be applied is logged and skipped. Since all entry processes
// apply the same changes in the same order, all of them skip it.
func (configPath *configPath) apply(entry control.LogEntry) {
	set, err := configPath.setAfter(entry)
	if err == nil {
		err = configPath.snapshots.PublishConfig(set)
	}
	if err != nil {
		configPath.logger.Error().Err(err).Int64("Revision", entry.Number).Msg("could not apply a configuration change; skipping it")
		return
	}
	configPath.onLoaded()
	configPath.logger.Info().Int64("Revision", set.Revision()).Msg("configuration in force")
	if configPath.follower.RetainedEntries() >= maxRetainedEntries {
		configPath.checkpoint(set)
	}
}

// checkpoint replaces the log entries retained for peers by one checkpoint entry with the resulting set.
func (configPath *configPath) checkpoint(set config.Set) {
	data, err := document.Encode(set.Change().WithID(checkpointID))
	if err != nil {
		configPath.logger.Error().Err(err).Msg("could not encode the configuration set; the log entries for peers stay in memory")
		return
	}
	configPath.follower.Compact(control.LogEntry{Number: set.Revision(), Checkpoint: true, Data: data})
}

// setAfter returns the configuration set that results from a log entry. It records the change in the history, unless
// the entry is a checkpoint.
func (configPath *configPath) setAfter(entry control.LogEntry) (config.Set, error) {
	change, err := document.Decode(entry.Data)
	if err != nil {
		return config.Set{}, fmt.Errorf("revision %d: %w", entry.Number, err)
	}
	if entry.Checkpoint {
		return config.Set{}.WithChange(change), nil
	}
	previous := configPath.snapshots.View().Config
	set, err := previous.WithNext(change)
	if err == nil {
		configPath.history.Record(previous, change)
	}
	return set, err
}

// sendEntry sends an entry to out, or returns false if ctx ends first.
func sendEntry(ctx context.Context, out chan<- control.LogEntry, entry control.LogEntry) bool {
	select {
	case out <- entry:
		return true
	case <-ctx.Done():
		return false
	}
}

// newCheckpointer returns the task that writes checkpoints and truncates the log; only the entry that holds the
// lease performs it.
func newCheckpointer(client *kv.Client, log *kvlog.Log, snapshots *Snapshots, holderID string) *pipeconfig.Checkpointer {
	leases := pipeconfig.NewKVLeases(client, configLayout.LeaseKey(), holderID)
	return pipeconfig.NewCheckpointer(client, log, leases, snapshots, configLayout, pipeconfig.DefaultCheckpointPolicy())
}
