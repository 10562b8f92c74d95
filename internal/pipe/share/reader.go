package share

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
)

const (
	// readInterval is the age of its copy at which the first entry by rank reads the store again.
	readInterval = 400 * time.Millisecond
	// largeFleetReadInterval replaces readInterval among more than fewEntries.
	largeFleetReadInterval = 600 * time.Millisecond
	// backupRounds is how many exchange intervals a read by the first entry takes to reach the
	// second entry by rank, which reads the store itself when its copy is older than that.
	backupRounds = 2.4
	// backupStep is added to that age for each further rank.
	backupStep = 150 * time.Millisecond
	// maxReadRounds, in exchange intervals and plus one second, is the age at which any entry
	// reads the store.
	maxReadRounds = 4
	// checkInterval is the least time between checks of the age.
	checkInterval = 50 * time.Millisecond
	// failurePause is the time between calls while reads of the store fail.
	failurePause = time.Second
)

// Store reads from the platform's store.
type Store interface {
	// Routes returns the configuration and the store's revision at the read.
	Routes(ctx context.Context) (content []byte, revision int64, err error)
	// Servers returns the list of servers, in this project's encoding, and the store's revision at the read.
	Servers(ctx context.Context) (content []byte, revision int64, err error)
}

// StoreReader reads the store when the entry's copy has become too old.
type StoreReader struct {
	shared *SharedState
	store  Store
	logger zerolog.Logger
}

// NewStoreReader returns a reader that merges what it reads into the shared state.
func NewStoreReader(shared *SharedState, store Store, logger zerolog.Logger) *StoreReader {
	return &StoreReader{shared: shared, store: store, logger: logger}
}

// RunRoutes reads the configuration until the context ends.
func (storeReader *StoreReader) RunRoutes(ctx context.Context) error {
	return storeReader.run(ctx, "routes", storeReader.shared.RoutesAge, storeReader.store.Routes, storeReader.shared.MergeRoutes)
}

// RunServers reads the list of servers until the context ends.
func (storeReader *StoreReader) RunServers(ctx context.Context) error {
	return storeReader.run(ctx, "servers", storeReader.shared.ServersAge, storeReader.store.Servers, storeReader.shared.MergeServers)
}

type (
	readFunc  func(ctx context.Context) (content []byte, revision int64, err error)
	mergeFunc func(revision int64, currentAt time.Duration, content []byte) error
)

// run reads one part of the store whenever its age exceeds this entry's limit, until the context ends.
func (storeReader *StoreReader) run(ctx context.Context, part string, age func() time.Duration, read readFunc, merge mergeFunc) error {
	delay, failing := checkInterval, false
	for pause.For(ctx, delay) == nil {
		if remaining := storeReader.readAge() - age(); remaining > 0 && !failing {
			delay = max(checkInterval, min(remaining, readInterval))
			continue
		}
		err := storeReader.read(ctx, read, merge)
		switch {
		case err == nil && failing:
			storeReader.logger.Info().Str("Part", part).Dur("AgeMs", age()).Msg("store reachable again")
		case err != nil && !failing:
			storeReader.logger.Warn().Err(err).Str("Part", part).Dur("AgeMs", age()).Msg("store not read")
		}
		if failing != (err != nil) {
			failing = err != nil
			storeReader.countFailing(failing)
		}
		if !storeReader.shared.Fleet().IsAggregator() {
			storeReader.shared.notify() // The aggregator distributes what was read to the other entries.
		}
		delay = checkInterval
		if failing {
			// Other entries read the store meanwhile, but only a call shows whether this entry reaches it again.
			delay = failurePause
		}
	}
	return nil
}

// countFailing updates the number of parts of the store that cannot be read.
func (storeReader *StoreReader) countFailing(failing bool) {
	if failing {
		storeReader.shared.failingParts.Add(1)
	} else {
		storeReader.shared.failingParts.Add(-1)
	}
	storeReader.shared.notify()
}

// read reads one part once. Its content was the latest at some time after the request was sent,
// so the time before the request is a lower bound.
func (storeReader *StoreReader) read(ctx context.Context, read readFunc, merge mergeFunc) error {
	requestedAt := storeReader.shared.clock.Now()
	content, revision, err := read(ctx)
	if err != nil {
		return err
	}
	return merge(revision, requestedAt, content)
}

// readAge returns the age of its copy at which this entry reads the store, depending on its rank.
func (storeReader *StoreReader) readAge() time.Duration {
	fleet := storeReader.shared.Fleet()
	rank, round, first := fleet.StoreReadRank(), interval(fleet), readInterval
	if len(fleet.Alive()) > fewEntries {
		first = largeFleetReadInterval
	}
	if rank == 0 {
		return first
	}
	backup := first + time.Duration(backupRounds*float64(round)) + time.Duration(rank-1)*backupStep
	return min(backup, time.Second+maxReadRounds*round)
}
