package share

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// ErrNoContent reports that the store was read and has no content of a part.
var ErrNoContent = errors.New("share: the store has no content of this part")

// errOtherBase reports that a difference does not apply to the list of servers that this entry has.
var errOtherBase = errors.New("share: the difference belongs to another list of servers")

// Clock is the boot clock of the VM.
type Clock interface {
	// Now returns the time since the VM booted.
	Now() time.Duration
}

// Codec encodes and decodes the contents of the store.
type Codec interface {
	// Routes decodes a configuration, or returns an error that describes what is invalid.
	Routes(content []byte) (route.Table, error)
	// WithRolloutsOf returns a configuration with the orders and records of roll-outs that another one has.
	WithRolloutsOf(content, other []byte) ([]byte, error)
	// Servers decodes a list of servers in this project's own encoding, see [Store].
	Servers(content []byte) ([]directory.Server, error)
	// EncodeServers encodes a list of servers, which is ordered by id. Equal lists have equal encodings.
	EncodeServers(servers []directory.Server) ([]byte, error)
	// Pack compresses content for peers. With a base that is not empty, the result has only what differs from it.
	Pack(content, base []byte) ([]byte, error)
	// Unpack returns the content that Pack compressed against the same base.
	Unpack(packed, base []byte) ([]byte, error)
}

// fleetStartTime is the time in which the entries of a fleet that starts find each other, through seeds that may start
// later than the others.
const fleetStartTime = time.Second

// maxServerLists is the number of recent lists of servers that an entry keeps, so that it can send the difference
// to a peer that has one of them. A peer lags by a few changes at most.
const maxServerLists = 8

// StorePart is one part of the store's data, either the configuration or the list of servers.
type StorePart[T any] struct {
	// Content is the encoded data.
	Content []byte
	// Digest is the xxhash of Content.
	Digest  uint64
	Decoded T
	// Version is that of a configuration, 0 for the list of servers.
	Version int64
}

// SharedState is an entry's copy of the state that entries share; it is safe for concurrent use.
type SharedState struct {
	clock      Clock
	codec      Codec
	cluster    *rcu.Cell[cluster.State]
	routes     *rcu.Cell[directory.Snapshot[StorePart[route.Table]]]
	serverList *rcu.Cell[directory.Snapshot[StorePart[[]directory.Server]]]
	servers    *rcu.Cell[directory.Servers]
	// serverLists are the latest lists of servers, the current one included, oldest first.
	serverLists *rcu.Cell[[]StorePart[[]directory.Server]]
	clocks      *rcu.Cell[cluster.Clocks]
	// routesPacker and serversPacker compress the contents for peers.
	routesPacker  *packer
	serversPacker *packer
	// supersededRoutes is the last configuration that was merged and has a lower version than the entry's. It is kept so that it is
	// not decoded again at each read, as long as a restored store has it.
	supersededRoutes *rcu.Cell[StorePart[route.Table]]
	// slots is what serverSlots has computed last.
	slots *rcu.Cell[slotIndex]
	// fleet contains the live entries as of the last round of exchanges.
	fleet *rcu.Cell[cluster.Fleet]
	// startedAt is when the entry started.
	startedAt time.Duration
	// failingParts is how many parts of the store could not be read at the last attempt.
	failingParts atomic.Int32
	// pushRequested receives a value when a change must be pushed at once, such as a new configuration.
	pushRequested chan struct{}
}

// NewSharedState returns the state of an entry that has no peers yet and has not read the store.
func NewSharedState(clock Clock, codec Codec, self cluster.EntryState) *SharedState {
	state := cluster.New(self)
	return &SharedState{
		clock:            clock,
		startedAt:        clock.Now(),
		codec:            codec,
		cluster:          rcu.New(state),
		fleet:            rcu.New(state.Fleet(clock.Now())),
		routes:           rcu.New(directory.Snapshot[StorePart[route.Table]]{}),
		serverList:       rcu.New(directory.Snapshot[StorePart[[]directory.Server]]{}),
		servers:          rcu.New(directory.Servers{}),
		serverLists:      rcu.New[[]StorePart[[]directory.Server]](nil),
		clocks:           rcu.New(cluster.Clocks{}),
		routesPacker:     newPacker(codec),
		serversPacker:    newPacker(codec),
		supersededRoutes: rcu.New(StorePart[route.Table]{}),
		slots:            rcu.New(slotIndex{}),
		pushRequested:    make(chan struct{}, 1),
	}
}

// slotIndex is the number of slots of each server, by [cluster.ServerKey], in one generation of the list of servers.
type slotIndex struct {
	generation uint64
	slots      map[uint32]int
}

// serverSlots returns the number of slots of each server by [cluster.ServerKey].
func (sharedState *SharedState) serverSlots() map[uint32]int {
	servers := sharedState.servers.Load()
	index := sharedState.slots.Load()
	if index.slots == nil || index.generation != servers.Generation() {
		index = slotIndex{generation: servers.Generation(), slots: make(map[uint32]int, len(servers.All()))}
		for id, server := range servers.All() {
			index.slots[cluster.ServerKey(id)] = server.Slots
		}
		sharedState.slots.Store(index)
	}
	return index.slots
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

// Rollouts returns the roll-outs by service, and the store's revision at which they were read with the configuration, 0 for none.
func (sharedState *SharedState) Rollouts() (rollout.Plans, int64) {
	routes := sharedState.routes.Load()
	return routes.Value.Decoded.Rollouts(), routes.Revision
}

// RetainEvidence drops what was counted of the orders of roll-outs for which keep returns false.
func (sharedState *SharedState) RetainEvidence(keep func(order int64) bool) {
	sharedState.cluster.Update(func(state cluster.State) cluster.State { return state.WithEvidenceOf(keep) })
}

// RequestRound makes the next round of exchanges start at once; it never blocks.
func (sharedState *SharedState) RequestRound() { sharedState.requestPush() }

// Limits returns the limits of the configuration on what callers may send.
func (sharedState *SharedState) Limits() route.Limits { return sharedState.Routes().Limits() }

// Servers returns the backend servers.
func (sharedState *SharedState) Servers() directory.Servers { return sharedState.servers.Load() }

// Cluster returns the state of this entry and its peers.
func (sharedState *SharedState) Cluster() cluster.State { return sharedState.cluster.Load() }

// Fleet returns the live entries as of the last round of exchanges.
func (sharedState *SharedState) Fleet() cluster.Fleet { return sharedState.fleet.Load() }

// FleetStarts reports whether this entry has just started, as have all others that it knows, and may find more of them
// through the seeds. With the few that it knows, it would take each role of the fleet that other entries have already.
func (sharedState *SharedState) FleetStarts(seeds []string) bool {
	self := sharedState.Cluster().Self()
	if sharedState.clock.Now()-sharedState.startedAt >= fleetStartTime || len(seeds) == 0 || slices.Contains(seeds, self.Address) {
		return false
	}
	return !slices.ContainsFunc(sharedState.Fleet().Alive(), func(member cluster.Member) bool {
		return time.Duration(self.Incarnation-member.Incarnation) > fleetStartTime
	})
}

// IsAlone reports whether this entry has no contact with another one.
func (sharedState *SharedState) IsAlone() bool { return len(sharedState.Fleet().Alive()) <= 1 }

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

// MarkLeaving records that an incarnation of a server no longer accepts work. It reports whether that was not known before.
func (sharedState *SharedState) MarkLeaving(id string, startedMs int64) bool {
	now := sharedState.clock.Now()
	_, changed := rcu.Apply(sharedState.servers, func(servers directory.Servers) (directory.Servers, bool) {
		next := servers.WithLeaving(id, startedMs, now)
		return next, next.Generation() != servers.Generation()
	})
	return changed
}

// MergeRoutes merges a configuration that was the latest at currentAt, a time of the boot clock. One of a lower version than the
// entry's does not replace it, see [directory.Snapshot.Merge].
//
// An error means that the content was invalid and the state is unchanged.
func (sharedState *SharedState) MergeRoutes(revision int64, currentAt time.Duration, content []byte) error {
	part, err := sharedState.routesPart(content)
	if err != nil {
		return err
	}
	sharedState.routesPacker.add(part.Digest, part.Content)
	if merged := mergePart(sharedState, sharedState.routes, revision, currentAt, part); merged.Value.Version > part.Version {
		sharedState.supersededRoutes.Store(part)
	}
	return nil
}

// mergeReadRoutes is [SharedState.MergeRoutes] for a configuration that this entry has read from the store. If a restored store has one of a
// lower version, the entry's own gets the orders and records of roll-outs that were read, which have no part in that version.
func (sharedState *SharedState) mergeReadRoutes(revision int64, currentAt time.Duration, content []byte) error {
	part, err := sharedState.routesPart(content)
	if err != nil {
		return err
	}
	if current := sharedState.routes.Load(); current.Version > part.Version {
		// An operator's document may have a field of its own with the name of the items. The copy then stays as it is.
		if kept, err := sharedState.codec.WithRolloutsOf(current.Value.Content, content); err == nil {
			if err := sharedState.MergeRoutes(revision, currentAt, kept); err != nil {
				return err
			}
		}
	}
	return sharedState.MergeRoutes(revision, currentAt, content)
}

// routesPart returns a configuration, which is decoded only if it is neither the current nor the superseded one.
func (sharedState *SharedState) routesPart(content []byte) (StorePart[route.Table], error) {
	if part := sharedState.supersededRoutes.Load(); part.Content != nil && part.Digest == xxhash.Sum64(content) {
		return part, nil
	}
	part, err := storePart(sharedState.routes.Load(), content, sharedState.codec.Routes)
	part.Version = part.Decoded.Version()
	return part, err
}

// confirmRoutesOfRestore records that a restored store had no configuration at all at currentAt, at a revision. The entry's copy
// counts as the latest then, as if the store had one of a lower version. It changes nothing in the era of the copy, in which an
// operator may have removed the configuration.
func (sharedState *SharedState) confirmRoutesOfRestore(revision int64, currentAt time.Duration) {
	current := sharedState.routes.Load()
	if current.Revision > 0 && directory.Era(revision) > directory.Era(current.Revision) {
		mergePart(sharedState, sharedState.routes, current.Revision, currentAt, current.Value)
	}
}

// MergeServers merges a list of servers that was the latest at currentAt, a time of the boot clock.
//
// An error means that the content was invalid and the state is unchanged.
func (sharedState *SharedState) MergeServers(revision int64, currentAt time.Duration, content []byte) error {
	part, err := storePart(sharedState.serverList.Load(), content, sharedState.codec.Servers)
	if err != nil {
		return err
	}
	sharedState.mergeServerList(revision, currentAt, part)
	return nil
}

// mergeServerDelta merges a list of servers that a peer sent as the difference to the list with the digest base.
//
// It changes nothing and returns an error if this entry's list is another one, or if the result is not the peer's list.
func (sharedState *SharedState) mergeServerDelta(read CachedRead, currentAt time.Duration) error {
	current := sharedState.serverList.Load().Value
	if current.Digest != read.DeltaBase {
		return errOtherBase
	}
	servers := read.Delta.Applied(current.Decoded)
	content, err := sharedState.codec.EncodeServers(servers)
	if err != nil {
		return err
	}
	part := StorePart[[]directory.Server]{Content: content, Digest: xxhash.Sum64(content), Decoded: servers}
	if part.Digest != read.Digest {
		return errOtherBase
	}
	sharedState.mergeServerList(read.Revision, currentAt, part)
	return nil
}

// mergeServerList stores a list of servers that was the latest at currentAt, unless a later one is stored already.
func (sharedState *SharedState) mergeServerList(revision int64, currentAt time.Duration, part StorePart[[]directory.Server]) {
	sharedState.serversPacker.add(part.Digest, part.Content)
	snapshot := mergePart(sharedState, sharedState.serverList, revision, currentAt, part)
	sharedState.serverLists.Update(func(lists []StorePart[[]directory.Server]) []StorePart[[]directory.Server] {
		if count := len(lists); count > 0 && lists[count-1].Digest == snapshot.Value.Digest {
			return lists
		}
		recent := lists[max(0, len(lists)-maxServerLists+1):]
		return append(recent[:len(recent):len(recent)], snapshot.Value)
	})
	listing := sharedState.listing()
	sharedState.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithSnapshot(listing) })
}

// confirmRoutes and confirmServers record that the content with a digest was the latest at currentAt. They change
// nothing if this entry has another content by now.
func (sharedState *SharedState) confirmRoutes(read CachedRead, currentAt time.Duration) {
	if part := sharedState.routes.Load().Value; part.Digest == read.Digest {
		mergePart(sharedState, sharedState.routes, read.Revision, currentAt, part)
	}
}

func (sharedState *SharedState) confirmServers(read CachedRead, currentAt time.Duration) {
	if part := sharedState.serverList.Load().Value; part.Digest == read.Digest {
		sharedState.mergeServerList(read.Revision, currentAt, part)
	}
}

// listing returns the list of servers as a snapshot.
func (sharedState *SharedState) listing() directory.Snapshot[[]directory.Server] {
	snapshot := sharedState.serverList.Load()
	return directory.Snapshot[[]directory.Server]{Revision: snapshot.Revision, CurrentAt: snapshot.CurrentAt, Value: snapshot.Value.Decoded}
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

// storePart returns the store part with a content, which is decoded only if the current content is another one.
func storePart[T any](current directory.Snapshot[StorePart[T]], content []byte, decode func([]byte) (T, error)) (StorePart[T], error) {
	digest := xxhash.Sum64(content)
	if current.Revision > 0 && digest == current.Value.Digest {
		return current.Value, nil
	}
	decoded, err := decode(content)
	if err != nil {
		return StorePart[T]{}, err
	}
	return StorePart[T]{Content: content, Digest: digest, Decoded: decoded}, nil
}

// mergePart merges a read into the cell of a store part, and requests a push if the content has changed.
func mergePart[T any](sharedState *SharedState, cell *rcu.Cell[directory.Snapshot[StorePart[T]]], revision int64, currentAt time.Duration, part StorePart[T]) directory.Snapshot[StorePart[T]] {
	snapshot := directory.Snapshot[StorePart[T]]{Revision: revision, Version: part.Version, CurrentAt: currentAt, Value: part}
	next, changed := rcu.Apply(cell, func(current directory.Snapshot[StorePart[T]]) (directory.Snapshot[StorePart[T]], bool) {
		merged := current.Merge(snapshot)
		return merged, current.Revision == 0 || merged.Value.Digest != current.Value.Digest
	})
	if changed {
		sharedState.requestPush()
	}
	return next
}

// requestPush makes the next round of exchanges start at once; it never blocks.
func (sharedState *SharedState) requestPush() {
	select {
	case sharedState.pushRequested <- struct{}{}:
	default:
	}
}

// routesFor returns this entry's copy of the configuration for a peer. If the peer's copy is older and different, it has the
// content, packed against that copy if this entry still knows it.
func (sharedState *SharedState) routesFor(peerRead CachedRead) CachedRead {
	current := sharedState.routes.Load()
	cached := cachedReadFor(sharedState, current)
	if !lacksRoutes(current.Revision, current.Value.Digest, peerRead) {
		return cached
	}
	return cached.withPacked(sharedState.routesPacker.pack(current.Value.Digest, peerRead.Digest))
}

// serversFor returns this entry's copy of the list of servers for a peer. If the peer's copy is older and different, it
// has the difference to that copy, or the packed content if this entry does not know that copy any more.
func (sharedState *SharedState) serversFor(peerRead CachedRead) CachedRead {
	current := sharedState.serverList.Load()
	cached := cachedReadFor(sharedState, current)
	if !lacks(current.Revision, current.Value.Digest, peerRead) {
		return cached
	}
	for _, part := range sharedState.serverLists.Load() {
		if peerRead.Digest == 0 || part.Digest != peerRead.Digest {
			continue
		}
		delta := directory.NewDelta(part.Decoded, current.Value.Decoded)
		if delta.Size() <= len(current.Value.Decoded)/2 {
			cached.Delta, cached.DeltaBase = &delta, part.Digest
			return cached
		}
	}
	return cached.withPacked(sharedState.serversPacker.pack(current.Value.Digest, 0))
}

// routesCopy and serversCopy return this entry's copies without their contents.
func (sharedState *SharedState) routesCopy() CachedRead {
	return cachedReadFor(sharedState, sharedState.routes.Load())
}

func (sharedState *SharedState) serversCopy() CachedRead {
	return cachedReadFor(sharedState, sharedState.serverList.Load())
}

// cachedReadFor returns a snapshot for a peer without the content.
func cachedReadFor[T any](sharedState *SharedState, snapshot directory.Snapshot[StorePart[T]]) CachedRead {
	return CachedRead{Revision: snapshot.Revision, Age: snapshot.Age(sharedState.clock.Now()), Digest: snapshot.Value.Digest}
}

// withPacked returns the read with packed content, which has the digest of the read.
func (read CachedRead) withPacked(packed packedContent) CachedRead {
	read.Packed, read.PackedBase = packed.bytes, packed.base
	return read
}
