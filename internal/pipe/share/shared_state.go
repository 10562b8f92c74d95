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

// Clock is the boot clock of the VM.
type Clock interface {
	// Now returns the time since the VM booted.
	Now() time.Duration
}

// Decoder decodes the contents of the store.
type Decoder interface {
	// Routes decodes a configuration, or returns an error that describes what is invalid.
	Routes(content []byte) (route.Table, error)
	// Servers decodes a list of servers in this project's own encoding, see [Store].
	Servers(content []byte) ([]directory.Server, error)
}

// StorePart is one part of the store's data, either the configuration or the list of servers.
type StorePart[T any] struct {
	// Content is the encoded data.
	Content []byte
	// Digest is the xxhash of Content.
	Digest  uint64
	Decoded T
}

// SharedState is an entry's copy of the state that entries share; it is safe for concurrent use.
type SharedState struct {
	clock      Clock
	decoder    Decoder
	cluster    *rcu.Cell[cluster.State]
	routes     *rcu.Cell[directory.Snapshot[StorePart[route.Table]]]
	serverList *rcu.Cell[directory.Snapshot[StorePart[[]directory.Server]]]
	servers    *rcu.Cell[directory.Servers]
	clocks     *rcu.Cell[cluster.Clocks]
	// fleet contains the live entries as of the last round of exchanges.
	fleet *rcu.Cell[cluster.Fleet]
	// failingParts is how many parts of the store could not be read at the last attempt.
	failingParts atomic.Int32
	// pushRequested receives a value when a change must be pushed at once, such as a new configuration.
	pushRequested chan struct{}
}

// NewSharedState returns the state of an entry that has no peers yet and has not read the store.
func NewSharedState(clock Clock, decoder Decoder, self cluster.EntryState) *SharedState {
	state := cluster.New(self)
	return &SharedState{
		clock:         clock,
		decoder:       decoder,
		cluster:       rcu.New(state),
		fleet:         rcu.New(state.Fleet(clock.Now())),
		routes:        rcu.New(directory.Snapshot[StorePart[route.Table]]{}),
		serverList:    rcu.New(directory.Snapshot[StorePart[[]directory.Server]]{}),
		servers:       rcu.New(directory.Servers{}),
		clocks:        rcu.New(cluster.Clocks{}),
		pushRequested: make(chan struct{}, 1),
	}
}

// View returns the snapshots of the configuration and the servers on which a request is decided.
func (sharedState *SharedState) View() request.View {
	routes := sharedState.routes.Load()
	return request.View{Routes: routes.Value.Decoded, Servers: sharedState.servers.Load(), Age: routes.Age(sharedState.clock.Now())}
}

// RoutesAge returns the time since the configuration was last confirmed to be the latest.
func (sharedState *SharedState) RoutesAge() time.Duration {
	return sharedState.routes.Load().Age(sharedState.clock.Now())
}

// ServersAge returns the time since the list of servers was last confirmed to be the latest.
func (sharedState *SharedState) ServersAge() time.Duration {
	return sharedState.serverList.Load().Age(sharedState.clock.Now())
}

// Routes returns the configuration.
func (sharedState *SharedState) Routes() route.Table { return sharedState.routes.Load().Value.Decoded }

// Limits returns the limits of the configuration on what callers may send.
func (sharedState *SharedState) Limits() route.Limits { return sharedState.Routes().Limits() }

// Servers returns the backend servers.
func (sharedState *SharedState) Servers() directory.Servers { return sharedState.servers.Load() }

// Cluster returns the state of this entry and its peers.
func (sharedState *SharedState) Cluster() cluster.State { return sharedState.cluster.Load() }

// Fleet returns the live entries as of the last round of exchanges.
func (sharedState *SharedState) Fleet() cluster.Fleet { return sharedState.fleet.Load() }

// WallTime returns the wall-clock time, corrected by comparison with the clocks of the other entries.
func (sharedState *SharedState) WallTime() time.Time {
	return time.Now().Add(sharedState.clocks.Load().Offset(sharedState.clock.Now()))
}

// addClockSample compares the wall clock with that of an entry whose message has just been received.
func (sharedState *SharedState) addClockSample(entry cluster.EntryState) {
	offset, now := clockOffset(entry.Clock), sharedState.clock.Now()
	sharedState.clocks.Update(func(clocks cluster.Clocks) cluster.Clocks {
		return clocks.WithSample(entry.Name, offset, now)
	})
}

// setAggregatorClock compares the wall clock with the corrected clock of the entry's aggregator,
// whose reply has just been received.
func (sharedState *SharedState) setAggregatorClock(entry cluster.EntryState) {
	offset, now := clockOffset(entry.Clock), sharedState.clock.Now()
	sharedState.clocks.Update(func(clocks cluster.Clocks) cluster.Clocks { return clocks.WithAggregatorClock(offset, now) })
}

// clockOffset returns how far a peer's wall clock is ahead of this entry's.
func clockOffset(peerClock time.Time) time.Duration {
	// Round strips the monotonic reading, since the wall clocks are compared.
	return peerClock.Sub(time.Now().Round(0))
}

// MarkLeaving records that an incarnation of a server no longer accepts work.
func (sharedState *SharedState) MarkLeaving(id string, startedMs int64) {
	now := sharedState.clock.Now()
	sharedState.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithLeaving(id, startedMs, now) })
}

// MergeRoutes merges a configuration that was the latest at currentAt, a time of the boot clock.
//
// A nil content means that the content has not changed. An error means that the
// content was invalid and the state is unchanged.
func (sharedState *SharedState) MergeRoutes(revision int64, currentAt time.Duration, content []byte) error {
	_, err := mergeContent(sharedState, sharedState.routes, revision, currentAt, content, sharedState.decoder.Routes)
	return err
}

// MergeServers merges a list of servers that was the latest at currentAt, a time of the boot clock.
//
// A nil content means that the content has not changed. An error means that the
// content was invalid and the state is unchanged.
func (sharedState *SharedState) MergeServers(revision int64, currentAt time.Duration, content []byte) error {
	snapshot, err := mergeContent(sharedState, sharedState.serverList, revision, currentAt, content, sharedState.decoder.Servers)
	if err != nil {
		return err
	}
	listing := directory.Snapshot[[]directory.Server]{Revision: snapshot.Revision, CurrentAt: snapshot.CurrentAt, Value: snapshot.Value.Decoded}
	sharedState.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithSnapshot(listing) })
	return nil
}

// updateCluster replaces the state of the cluster by the result of change, which may be called
// more than once.
func (sharedState *SharedState) updateCluster(change func(state cluster.State, now time.Duration) cluster.State) {
	now := sharedState.clock.Now()
	sharedState.cluster.Update(func(state cluster.State) cluster.State { return change(state, now) })
}

// UpdateSelf replaces the entry's own state by the result of change, under a higher sequence
// number. It may call change more than once.
func (sharedState *SharedState) UpdateSelf(change func(cluster.EntryState) cluster.EntryState) {
	sharedState.cluster.Update(func(state cluster.State) cluster.State { return state.WithSelf(change(state.Self())) })
}

// mergeContent merges a read into the cell of a store part, and decodes the content only if its
// digest differs from that of the current content.
func mergeContent[T any](sharedState *SharedState, cell *rcu.Cell[directory.Snapshot[StorePart[T]]], revision int64, currentAt time.Duration, content []byte, decode func([]byte) (T, error)) (directory.Snapshot[StorePart[T]], error) {
	current := cell.Load()
	part := current.Value
	digest := current.Value.Digest
	if content != nil {
		digest = xxhash.Sum64(content)
	}
	changed := digest != current.Value.Digest || current.Revision == 0
	if changed {
		decoded, err := decode(content)
		if err != nil {
			return current, err
		}
		part = StorePart[T]{Content: content, Digest: digest, Decoded: decoded}
	}
	snapshot := directory.Snapshot[StorePart[T]]{Revision: revision, CurrentAt: currentAt, Value: part}
	next := cell.Update(func(current directory.Snapshot[StorePart[T]]) directory.Snapshot[StorePart[T]] {
		return current.Merge(snapshot)
	})
	if changed {
		sharedState.requestPush()
	}
	return next, nil
}

// requestPush makes the next round of exchanges start at once; it never blocks.
func (sharedState *SharedState) requestPush() {
	select {
	case sharedState.pushRequested <- struct{}{}:
	default:
	}
}

// cachedReadFor returns this entry's copy of a store part for a peer, with the content only if the
// peer's copy is older and different.
func cachedReadFor[T any](sharedState *SharedState, cell *rcu.Cell[directory.Snapshot[StorePart[T]]], peerRead CachedRead) CachedRead {
	snapshot := cell.Load()
	cached := CachedRead{Revision: snapshot.Revision, Age: snapshot.Age(sharedState.clock.Now()), Digest: snapshot.Value.Digest}
	if snapshot.Revision > peerRead.Revision && peerRead.Digest != cached.Digest {
		cached.Content = snapshot.Value.Content
	}
	return cached
}
