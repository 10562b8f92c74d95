package share

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// ErrNoContent reports that the store was read and has no content of a part.
var ErrNoContent = errors.New("share: the store has no content of this part")

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

// RequestRound makes the next round of exchanges start at once; it never blocks.
func (sharedState *SharedState) RequestRound() {
	select {
	case sharedState.pushRequested <- struct{}{}:
	default:
	}
}
