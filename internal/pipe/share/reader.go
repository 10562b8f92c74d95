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
	largeFleetReadInterval = 600 * time.Millisecond
	// backupRounds is how many exchanges the first entry's reading takes to reach the next
	// one, which reads by itself when its knowledge is older.
	backupRounds = 2.4
	// backupStep is added for each further entry.
	backupStep = 150 * time.Millisecond
	// maxReadRounds is after how many exchanges any entry reads by itself.
	maxReadRounds = 4
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

// Reader reads the store when the entry's knowledge grows old.
type Reader struct {
	knowledge *Knowledge
	store     Store
	logger    zerolog.Logger
}

// NewReader returns a reader that joins what it reads into the knowledge.
func NewReader(knowledge *Knowledge, store Store, logger zerolog.Logger) *Reader {
	return &Reader{knowledge: knowledge, store: store, logger: logger}
}

// RunRoutes reads the configuration until the context ends.
func (reader *Reader) RunRoutes(ctx context.Context) error {
	return reader.run(ctx, "routes", reader.knowledge.Age, reader.store.Routes, reader.knowledge.TakeRoutes)
}

// RunServers reads the list of servers until the context ends.
func (reader *Reader) RunServers(ctx context.Context) error {
	return reader.run(ctx, "servers", reader.knowledge.ServersAge, reader.store.Servers, reader.knowledge.TakeServers)
}

type (
	readFunc func(ctx context.Context) (content []byte, revision int64, err error)
	mergeFunc func(revision int64, newestAt time.Duration, content []byte) error
)

func (reader *Reader) run(ctx context.Context, part string, age func() time.Duration, read readFunc, take mergeFunc) error {
	delay, failing := checkInterval, false
	for pause.For(ctx, delay) == nil {
		if left := reader.readAge() - age(); left > 0 && !failing {
			delay = max(checkInterval, min(left, readInterval))
			continue
		}
		err := reader.read(ctx, read, take)
		switch {
		case err == nil && failing:
			reader.logger.Info().Str("Part", part).Dur("AgeMs", age()).Msg("store reachable again")
		case err != nil && !failing:
			reader.logger.Warn().Err(err).Str("Part", part).Dur("AgeMs", age()).Msg("store not read")
		}
		if failing != (err != nil) {
			failing = err != nil
			reader.countFailing(failing)
		}
		if !reader.knowledge.Fleet().IsRelay() {
			reader.knowledge.notify() // The others learn it by way of the relay.
		}
		delay = checkInterval
		if failing {
			// Others read meanwhile, but only a call shows that the store is back.
			delay = failurePause
		}
	}
	return nil
}

// countFailing counts the parts of the store that cannot be read.
func (reader *Reader) countFailing(failing bool) {
	if failing {
		reader.knowledge.failingParts.Add(1)
	} else {
		reader.knowledge.failingParts.Add(-1)
	}
	reader.knowledge.notify()
}

// read reads once. The answer is true of some moment after the question.
func (reader *Reader) read(ctx context.Context, read readFunc, take mergeFunc) error {
	asked := reader.knowledge.clock.Now()
	content, revision, err := read(ctx)
	if err != nil {
		return err
	}
	return take(revision, asked, content)
}

// readAge returns the age at which this entry reads.
func (reader *Reader) readAge() time.Duration {
	fleet := reader.knowledge.Fleet()
	rank, round, first := fleet.ReadRank(), interval(fleet), readInterval
	if len(fleet.Alive()) > fewEntries {
		first = largeFleetReadInterval
	}
	if rank == 0 {
		return first
	}
	reserve := first + time.Duration(backupRounds*float64(round)) + time.Duration(rank-1)*backupStep
	return min(reserve, time.Second+maxReadRounds*round)
}
