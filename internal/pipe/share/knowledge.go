package share

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Clock gives the time since boot.
type Clock interface {
	Now() time.Duration
}

// Decoder reads the contents of the store.
type Decoder interface {
	// Routes decodes a configuration, or returns an error that says what is wrong with it.
	Routes(content []byte) (route.Table, error)
	// Servers decodes a list of servers, which this project encodes itself.
	Servers(content []byte) ([]directory.Server, error)
}

// StorePart is a part of the store, as it came and decoded.
type StorePart[T any] struct {
	Content []byte
	Digest  uint64
	Decoded T
}

// SharedState is what an entry knows; several threads may use it.
type SharedState struct {
	clock      Clock
	decoder    Decoder
	neighbours *rcu.Cell[cluster.State]
	routes     *rcu.Cell[directory.Snapshot[StorePart[route.Table]]]
	listing    *rcu.Cell[directory.Snapshot[StorePart[[]directory.Server]]]
	servers    *rcu.Cell[directory.Servers]
	clocks     *rcu.Cell[cluster.Clocks]
	// fleet is the live entries at the last round of exchanges.
	fleet *rcu.Cell[cluster.Fleet]
	// failing is how many parts of the store could not be read at the last try.
	failing atomic.Int32
	// changed is told of what others should know at once, such as a new configuration or list of servers.
	changed chan struct{}
}

// NewSharedState returns the knowledge of an entry that knows itself only.
func NewSharedState(clock Clock, decoder Decoder, self cluster.EntryState) *SharedState {
	neighbours := cluster.New(self)
	return &SharedState{
		clock:      clock,
		decoder:    decoder,
		neighbours: rcu.New(neighbours),
		fleet:      rcu.New(neighbours.Fleet(clock.Now())),
		routes:     rcu.New(directory.Snapshot[StorePart[route.Table]]{}),
		listing:    rcu.New(directory.Snapshot[StorePart[[]directory.Server]]{}),
		servers:    rcu.New(directory.Servers{}),
		clocks:     rcu.New(cluster.Clocks{}),
		changed:    make(chan struct{}, 1),
	}
}

// View returns the snapshots that a call is decided on.
func (sharedState *SharedState) View() request.View {
	routes := sharedState.routes.Load()
	return request.View{Routes: routes.Value.Decoded, Servers: sharedState.servers.Load(), Age: routes.Age(sharedState.clock.Now())}
}

// RoutesAge returns the time since the configuration was known to be the newest.
func (sharedState *SharedState) RoutesAge() time.Duration {
	return sharedState.routes.Load().Age(sharedState.clock.Now())
}

// ServersAge returns the time since the list of servers was known to be the newest.
func (sharedState *SharedState) ServersAge() time.Duration {
	return sharedState.listing.Load().Age(sharedState.clock.Now())
}

// Routes returns the configuration.
func (sharedState *SharedState) Routes() route.Table { return sharedState.routes.Load().Value.Decoded }

// Limits returns what callers may send.
func (sharedState *SharedState) Limits() route.Limits { return sharedState.Routes().Limits() }

// Servers returns the backend servers.
func (sharedState *SharedState) Servers() directory.Servers { return sharedState.servers.Load() }

// Cluster returns what is known of the entries.
func (sharedState *SharedState) Cluster() cluster.State { return sharedState.neighbours.Load() }

// Fleet returns the live entries.
func (sharedState *SharedState) Fleet() cluster.Fleet { return sharedState.fleet.Load() }

// WallTime returns the wall clock, set right by those of the other entries.
func (sharedState *SharedState) WallTime() time.Time {
	return time.Now().Add(sharedState.clocks.Load().Offset(sharedState.clock.Now()))
}

// takeClock compares the wall clock with that of an entry whose statement has just arrived.
func (sharedState *SharedState) takeClock(record cluster.EntryState) {
	offset, now := ahead(record.Clock), sharedState.clock.Now()
	sharedState.clocks.Update(func(clocks cluster.Clocks) cluster.Clocks {
		return clocks.WithSample(record.Name, offset, now)
	})
}

// takeGuide compares the wall clock with that of the entry's relay, whose reply has just arrived.
func (sharedState *SharedState) takeGuide(record cluster.EntryState) {
	offset, now := ahead(record.Clock), sharedState.clock.Now()
	sharedState.clocks.Update(func(clocks cluster.Clocks) cluster.Clocks { return clocks.WithAggregatorClock(offset, now) })
}

// ahead returns by how much a clock is ahead of the own wall clock.
func ahead(other time.Time) time.Duration {
	// Round strips the monotonic reading, since the wall clocks are compared.
	return other.Sub(time.Now().Round(0))
}

// MarkLeaving notes that an incarnation of a server does not take work any more.
func (sharedState *SharedState) MarkLeaving(id string, born int64) {
	now := sharedState.clock.Now()
	sharedState.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithLeaving(id, born, now) })
}

// MergeRoutes joins a configuration that was the newest at a time of the boot clock.
//
// A nil content stands for the content that is held already.
func (sharedState *SharedState) MergeRoutes(revision int64, newestAt time.Duration, content []byte) error {
	_, err := take(sharedState, sharedState.routes, revision, newestAt, content, sharedState.decoder.Routes)
	return err
}

// MergeServers joins a list of servers that was the newest at a time of the boot clock.
//
// A nil content stands for the content that is held already.
func (sharedState *SharedState) MergeServers(revision int64, newestAt time.Duration, content []byte) error {
	reading, err := take(sharedState, sharedState.listing, revision, newestAt, content, sharedState.decoder.Servers)
	if err != nil {
		return err
	}
	listing := directory.Snapshot[[]directory.Server]{Revision: reading.Revision, CurrentAt: reading.CurrentAt, Value: reading.Value.Decoded}
	sharedState.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithSnapshot(listing) })
	return nil
}

// learn changes what is known of the other entries.
func (sharedState *SharedState) learn(change func(state cluster.State, now time.Duration) cluster.State) {
	now := sharedState.clock.Now()
	sharedState.neighbours.Update(func(state cluster.State) cluster.State { return change(state, now) })
}

// UpdateSelf raises the entry's own statement by change.
func (sharedState *SharedState) UpdateSelf(change func(cluster.EntryState) cluster.EntryState) {
	sharedState.neighbours.Update(func(state cluster.State) cluster.State { return state.WithSelf(change(state.Self())) })
}

func take[T any](knowledge *SharedState, cell *rcu.Cell[directory.Snapshot[StorePart[T]]], revision int64, newestAt time.Duration, content []byte, decode func([]byte) (T, error)) (directory.Snapshot[StorePart[T]], error) {
	current := cell.Load()
	part := current.Value
	digest := current.Value.Digest
	if content != nil {
		digest = xxhash.Sum64(content)
	}
	fresh := digest != current.Value.Digest || current.Revision == 0
	if fresh {
		decoded, err := decode(content)
		if err != nil {
			return current, err
		}
		part = StorePart[T]{Content: content, Digest: digest, Decoded: decoded}
	}
	reading := directory.Snapshot[StorePart[T]]{Revision: revision, CurrentAt: newestAt, Value: part}
	next := cell.Update(func(current directory.Snapshot[StorePart[T]]) directory.Snapshot[StorePart[T]] {
		return current.Merge(reading)
	})
	if fresh {
		knowledge.notify()
	}
	return next, nil
}

// notify makes the next round of exchanges begin at once; it never waits.
func (sharedState *SharedState) notify() {
	select {
	case sharedState.changed <- struct{}{}:
	default:
	}
}

// holding returns what is held, for a peer that has another content.
func holding[T any](knowledge *SharedState, cell *rcu.Cell[directory.Snapshot[StorePart[T]]], other CachedRead) CachedRead {
	reading := cell.Load()
	held := CachedRead{Revision: reading.Revision, Age: reading.Age(knowledge.clock.Now()), Digest: reading.Value.Digest}
	if reading.Revision > other.Revision && other.Digest != held.Digest {
		held.Content = reading.Value.Content
	}
	return held
}
