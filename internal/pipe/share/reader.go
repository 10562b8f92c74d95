package share

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
)

const (
	// readInterval is the age of knowledge at which the first entry reads again, and
	// calmReadInterval that among more than fewEntries.
	readInterval     = 400 * time.Millisecond
	calmReadInterval = 600 * time.Millisecond
	// reserveRounds is how many exchanges the first entry's reading takes to reach the next
	// one, which reads by itself when its knowledge is older.
	reserveRounds = 2.4
	// reserveStep is added for each further entry.
	reserveStep = 150 * time.Millisecond
	// lastRounds is after how many exchanges any entry reads by itself.
	lastRounds = 4
	// checkInterval is the time between looks at the age.
	checkInterval = 50 * time.Millisecond
	// failurePause is the time between calls while the store fails.
	failurePause = time.Second
)

// Store reads the platform's store.
type Store interface {
	// Routes returns the configuration and the store's revision at the read.
	Routes(ctx context.Context) (content []byte, revision int64, err error)
	// Servers returns the list of servers, in this project's encoding, and the store's revision at the read.
	Servers(ctx context.Context) (content []byte, revision int64, err error)
}

// StoreReader reads the store when the entry's knowledge grows old.
type StoreReader struct {
	knowledge *SharedState
	store     Store
	logger    zerolog.Logger
}

// NewStoreReader returns a reader that joins what it reads into the knowledge.
func NewStoreReader(knowledge *SharedState, store Store, logger zerolog.Logger) *StoreReader {
	return &StoreReader{knowledge: knowledge, store: store, logger: logger}
}

// RunRoutes reads the configuration until the context ends.
func (storeReader *StoreReader) RunRoutes(ctx context.Context) error {
	return storeReader.run(ctx, "routes", storeReader.knowledge.RoutesAge, storeReader.store.Routes, storeReader.knowledge.MergeRoutes)
}

// RunServers reads the list of servers until the context ends.
func (storeReader *StoreReader) RunServers(ctx context.Context) error {
	return storeReader.run(ctx, "servers", storeReader.knowledge.ServersAge, storeReader.store.Servers, storeReader.knowledge.MergeServers)
}

type (
	readFunc func(ctx context.Context) (content []byte, revision int64, err error)
	takeFunc func(revision int64, newestAt time.Duration, content []byte) error
)

func (storeReader *StoreReader) run(ctx context.Context, part string, age func() time.Duration, read readFunc, take takeFunc) error {
	delay, failing := checkInterval, false
	for pause.For(ctx, delay) == nil {
		if left := storeReader.limit() - age(); left > 0 && !failing {
			delay = max(checkInterval, min(left, readInterval))
			continue
		}
		err := storeReader.read(ctx, read, take)
		switch {
		case err == nil && failing:
			storeReader.logger.Info().Str("Part", part).Dur("AgeMs", age()).Msg("store reachable again")
		case err != nil && !failing:
			storeReader.logger.Warn().Err(err).Str("Part", part).Dur("AgeMs", age()).Msg("store not read")
		}
		if failing != (err != nil) {
			failing = err != nil
			storeReader.note(failing)
		}
		if !storeReader.knowledge.Fleet().IsAggregator() {
			storeReader.knowledge.notify() // The others learn it by way of the relay.
		}
		delay = checkInterval
		if failing {
			// Others read meanwhile, but only a call shows that the store is back.
			delay = failurePause
		}
	}
	return nil
}

// note counts the parts of the store that cannot be read.
func (storeReader *StoreReader) note(failing bool) {
	if failing {
		storeReader.knowledge.failing.Add(1)
	} else {
		storeReader.knowledge.failing.Add(-1)
	}
	storeReader.knowledge.notify()
}

// read reads once. The answer is true of some moment after the question.
func (storeReader *StoreReader) read(ctx context.Context, read readFunc, take takeFunc) error {
	asked := storeReader.knowledge.clock.Now()
	content, revision, err := read(ctx)
	if err != nil {
		return err
	}
	return take(revision, asked, content)
}

// limit returns the age at which this entry reads.
func (storeReader *StoreReader) limit() time.Duration {
	fleet := storeReader.knowledge.Fleet()
	rank, round, first := fleet.ReadRank(), interval(fleet), readInterval
	if len(fleet.Alive()) > fewEntries {
		first = calmReadInterval
	}
	if rank == 0 {
		return first
	}
	reserve := first + time.Duration(reserveRounds*float64(round)) + time.Duration(rank-1)*reserveStep
	return min(reserve, time.Second+lastRounds*round)
}
