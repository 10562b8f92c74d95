package share

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

const (
	// readInterval is the age of its copy at which the first-ranked entry reads the store again.
	readInterval = 400 * time.Millisecond
	// largeFleetReadInterval replaces readInterval among more than fewEntries entries.
	largeFleetReadInterval = 600 * time.Millisecond
	// readWait is the time by which a read of the configuration may outlast the usual answer time, because it waits for a
	// change.
	readWait = 300 * time.Millisecond
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
	// serversDelay is how long an entry that has just started waits before it reads the list of servers, since another
	// entry may have a copy for it. Without it, all entries of a fleet that starts read all pages of the list at once. The
	// configuration takes one call and is read at once, since an entry serves nothing without it.
	serversDelay = 150 * time.Millisecond
	// firstReadAge is the time since the start after which an entry of any rank reads a part that it still lacks, and
	// firstReadAgeAlone that of an entry without contact to any other.
	firstReadAge      = 800 * time.Millisecond
	firstReadAgeAlone = 400 * time.Millisecond
	// emptyReadAge is the time after which an entry that is no prober reads a part again of which the store had no content.
	// It receives the first content from the probers.
	emptyReadAge = 10 * time.Second
	// failurePause is the time between calls while reads of the store fail. It doubles up to maxFailurePause, except at
	// the probers, which are the first entries by rank.
	failurePause    = time.Second
	maxFailurePause = 8 * time.Second
	probers         = 8
)

// Store reads from the platform's store. A read may wait up to 300 ms for a change.
type Store interface {
	// Routes returns the configuration and the store's revision at the read, which it also returns with [ErrNoContent] if there is none.
	Routes(ctx context.Context) (content []byte, revision int64, err error)
	// Servers returns the list of servers, in this project's encoding, and the store's revision at the read.
	Servers(ctx context.Context) (content []byte, revision int64, err error)
}

// StoreReader reads the store when the entry's copy has become too old.
type StoreReader struct {
	shared *SharedState
	store  Store
	seeds  Seeds
	logger zerolog.Logger
	// retention and peerFailures are used by the reads of the list of servers only, and loggedRoutes by those of the configuration: it is the digest
	// of the superseded configuration that was logged last.
	retention    directory.Retention
	peerFailures directory.PeerFailures
	loggedRoutes uint64
}

// NewStoreReader returns a reader that merges what it reads into the shared state. Seeds are the addresses by which the
// entries of a fleet find each other.
func NewStoreReader(shared *SharedState, store Store, seeds Seeds, logger zerolog.Logger) *StoreReader {
	return &StoreReader{shared: shared, store: store, seeds: seeds, logger: logger}
}

// RunRoutes reads the configuration until the context ends.
func (storeReader *StoreReader) RunRoutes(ctx context.Context) error {
	return storeReader.run(ctx, part{
		name: partRoutes, wait: readWait, showsReachability: true, firstPause: failurePause,
		revision: func() int64 { return storeReader.shared.routes.Load().Revision },
		age:      storeReader.shared.RoutesAge, read: storeReader.readRoutes,
	})
}

// RunServers reads the list of servers until the context ends.
func (storeReader *StoreReader) RunServers(ctx context.Context) error {
	return storeReader.run(ctx, part{
		name: partServers, startDelay: serversDelay, firstPause: peerCopyTime,
		revision: func() int64 { return storeReader.shared.serverList.Load().Revision },
		age:      storeReader.shared.ServersAge, read: storeReader.readServers,
	})
}

// partName names a part of the store.
type partName string

const (
	partRoutes  partName = "routes"
	partServers partName = "servers"
)

// part is one part of the store, and how this entry reads it.
type part struct {
	name partName
	// startDelay is the time before the first read, for which the entry waits for the copies of others.
	startDelay time.Duration
	// wait is how long a read may wait for a change.
	wait time.Duration
	// showsReachability reports whether failed reads are repeated until one succeeds, even if other entries provide recent
	// copies, since only a read shows that this entry reaches the store again. The part that takes one call does that, and
	// the other ones wait for it.
	showsReachability bool
	// firstPause is the time from the first failed read to the next one, at an entry that is no prober.
	firstPause time.Duration
	// revision returns the revision of the entry's copy, 0 for none, and age its age.
	revision func() int64
	age      func() time.Duration
	read     func(context.Context) error
}

// run reads one part of the store whenever its age exceeds this entry's limit, until the context ends.
func (storeReader *StoreReader) run(ctx context.Context, part part) error {
	shared := storeReader.shared
	schedule, empty := readSchedule{}, false
	// Until the first read of a part for which the entry waits, the time since the start counts as the age: an entry of a
	// low rank leaves that read to the others.
	lastReadAt := shared.startedAt
	if part.startDelay == 0 {
		lastReadAt = math.MinInt64 / 2 // far before any time of the boot clock
	}
	for delay := max(part.startDelay, checkInterval); pause.For(ctx, delay) == nil; delay = checkInterval {
		now := shared.clock.Now()
		if part.name == partServers {
			fleet := shared.Fleet()
			storeReader.peerFailures = storeReader.peerFailures.WithFailing(fleet.StoreUnreachable(), len(fleet.Alive())-1, now)
		}
		limit := storeReader.readAge(part, empty)
		remaining := limit - min(part.age(), now-lastReadAt)
		wasFailing := schedule.failing()
		if wasFailing && remaining > 0 && !part.showsReachability && part.age() < schedule.sinceFailure(now) {
			schedule = readSchedule{}
			storeReader.countFailing(-1)
			continue
		}
		if wasFailing && storeReader.awaitsOtherParts(part) {
			schedule = schedule.postponed(now)
			continue
		}
		if !schedule.due(remaining, now) {
			continue
		}
		err := part.read(ctx)
		if empty = errors.Is(err, ErrNoContent); empty {
			lastReadAt, err = now, nil
		}
		schedule = schedule.withRead(err, storeReader.isProber(), part.firstPause, now)
		storeReader.recordRead(part, err, wasFailing)
		if !shared.Fleet().IsAggregator() {
			shared.RequestRound() // The aggregator distributes what was read to the other entries.
		}
	}
	return nil
}

// recordRead logs and counts that a part of the store can no longer be read, or can be read again.
func (storeReader *StoreReader) recordRead(part part, err error, wasFailing bool) {
	switch {
	case err == nil && wasFailing:
		storeReader.logger.Info().Str("Part", string(part.name)).Dur("AgeMs", part.age()).Msg("store reachable again")
		storeReader.countFailing(-1)
	case err != nil && !wasFailing:
		storeReader.logger.Warn().Err(err).Str("Part", string(part.name)).Dur("AgeMs", part.age()).
			Msg("could not read a part of the store; retrying, other entries may still read it")
		storeReader.countFailing(1)
	}
}

// awaitsOtherParts reports whether this entry leaves a part that it could not read alone until the part that shows whether
// the store is reachable can be read again.
func (storeReader *StoreReader) awaitsOtherParts(part part) bool {
	return !part.showsReachability && !storeReader.isProber() && storeReader.shared.failingParts.Load() > 1
}

// isProber reports whether this entry is one of the few that call the store often when others wait for what they read.
func (storeReader *StoreReader) isProber() bool { return storeReader.shared.Fleet().Rank() < probers }

// countFailing adds to the number of parts of the store that cannot be read.
func (storeReader *StoreReader) countFailing(parts int32) {
	storeReader.shared.failingParts.Add(parts)
	storeReader.shared.RequestRound()
}

// readRoutes reads the configuration once and merges it. The content was the latest at some time after the request was
// sent, so it is merged with the time before the request as a lower bound.
func (storeReader *StoreReader) readRoutes(ctx context.Context) error {
	requestedAt := storeReader.shared.clock.Now()
	content, revision, err := storeReader.store.Routes(ctx)
	if errors.Is(err, ErrNoContent) {
		storeReader.shared.confirmRoutesOfRestore(revision, requestedAt)
	}
	if err != nil {
		return err
	}
	if err := storeReader.shared.mergeReadRoutes(revision, requestedAt, content); err != nil {
		return err
	}
	storeReader.logSuperseded(revision, content)
	return nil
}

// logSuperseded logs once that the store has a configuration of a lower version than the entry's.
func (storeReader *StoreReader) logSuperseded(revision int64, content []byte) {
	superseded := storeReader.shared.supersededRoutes.Load()
	if superseded.Content == nil || superseded.Digest == storeReader.loggedRoutes || superseded.Digest != xxhash.Sum64(content) {
		return
	}
	storeReader.loggedRoutes = superseded.Digest
	storeReader.logger.Warn().Int64("StoreVersion", superseded.Version).Int64("Version", storeReader.shared.Routes().Version()).
		Int64("Era", directory.Era(revision)).
		Msg("the store has a configuration of a lower version; keeping the higher one until it is written again")
}

// readServers reads the list of servers once and merges it, with the servers that are kept after an outage.
func (storeReader *StoreReader) readServers(ctx context.Context) error {
	requestedAt := storeReader.shared.clock.Now()
	content, revision, err := storeReader.store.Servers(ctx)
	if err != nil {
		storeReader.retention = storeReader.retention.WithFailedRead(storeReader.shared.listing(), storeReader.shared.clock.Now())
		return err
	}
	servers, err := storeReader.shared.codec.Servers(content)
	if err != nil {
		return err
	}
	read := directory.Snapshot[[]directory.Server]{Revision: revision, CurrentAt: requestedAt, Value: servers}
	previous := storeReader.shared.listing()
	storeReader.retention, read.Value = storeReader.retention.WithRead(previous, read, storeReader.peerFailures)
	read.Value = directory.WithRestore(previous, read, storeReader.shared.Servers().RestoreListedAt())
	if !slices.Equal(read.Value, servers) {
		if content, err = storeReader.shared.codec.EncodeServers(read.Value); err != nil {
			return err
		}
		// A list without the kept servers must replace this one, also if the store does not change until then. Lists are merged by their
		// revisions, so this one gets the revision before that of the read.
		revision--
	}
	return storeReader.shared.MergeServers(revision, requestedAt, content)
}

// readAge returns the age of its copy at which this entry reads a part of the store, depending on its rank, on how long
// a read may wait, and on whether the entry lacks the part. Empty reports that the store had no content of it.
func (storeReader *StoreReader) readAge(part part, empty bool) time.Duration {
	shared, lastAge := storeReader.shared, storeReader.lastReadAge(part.wait)
	limit := min(storeReader.readAgeByRank(part.wait), lastAge)
	lacks := part.revision() == 0
	switch {
	case empty && !storeReader.isProber():
		return emptyReadAge
	case (empty || !lacks) && shared.FleetStarts(storeReader.seeds.Seeds()):
		return lastAge // The entry has a rank among the few that it knows only.
	case empty || !lacks:
		return limit
	case shared.IsAlone():
		return min(limit, firstReadAgeAlone)
	}
	return min(limit, firstReadAge)
}

// readAgeByRank returns the age at which this entry reads a part that it has, by its rank.
func (storeReader *StoreReader) readAgeByRank(wait time.Duration) time.Duration {
	fleet := storeReader.shared.Fleet()
	firstAge := readInterval
	if len(fleet.Alive()) > fewEntries {
		firstAge = largeFleetReadInterval
	}
	rank := fleet.StoreReadRank()
	if rank == 0 {
		return firstAge
	}
	return firstAge + wait + time.Duration(backupRounds*float64(roundInterval(fleet))) + time.Duration(rank-1)*backupStep
}

// lastReadAge returns the age at which an entry of any rank reads a part that it has.
func (storeReader *StoreReader) lastReadAge(wait time.Duration) time.Duration {
	return wait + time.Second + maxReadRounds*roundInterval(storeReader.shared.Fleet())
}
