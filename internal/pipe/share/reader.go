package share

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
)

const (
	// readInterval is the age of its copy at which the first-ranked entry reads the store again.
	readInterval = 400 * time.Millisecond
	// largeFleetReadInterval replaces readInterval among more than fewEntries entries.
	largeFleetReadInterval = 600 * time.Millisecond
	// backupRounds is how many exchange intervals a read by the first-ranked entry takes to reach
	// the second-ranked one, which reads the store itself when its copy is older by that much.
	backupRounds = 2.4
	// backupStep is added to the age for each further rank.
	backupStep = 150 * time.Millisecond
	// maxReadRounds bounds the age at which an entry of any rank reads the store: to this number
	// of exchange intervals plus one second.
	maxReadRounds = 4
	// checkInterval is the minimum time between checks of the age.
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
			storeReader.logger.Warn().Err(err).Str("Part", part).Dur("AgeMs", age()).Msg("could not read a part of the store; retrying every second, other entries may still read it")
		}
		if failing != (err != nil) {
			failing = err != nil
			storeReader.countFailing(failing)
		}
		if !storeReader.shared.Fleet().IsAggregator() {
			storeReader.shared.requestPush() // The aggregator distributes what was read to the other entries.
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
	storeReader.shared.requestPush()
}

// read reads one part of the store once and merges it. The content was the latest at some time
// after the request was sent, so it is merged with the time before the request as a lower bound.
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
	rank, interval, firstAge := fleet.StoreReadRank(), roundInterval(fleet), readInterval
	if len(fleet.Alive()) > fewEntries {
		firstAge = largeFleetReadInterval
	}
	if rank == 0 {
		return firstAge
	}
	backupAge := firstAge + time.Duration(backupRounds*float64(interval)) + time.Duration(rank-1)*backupStep
	return min(backupAge, time.Second+maxReadRounds*interval)
}
