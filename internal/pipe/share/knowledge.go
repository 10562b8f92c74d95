package share

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
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

// Part is a part of the store, as it came and decoded.
type Part[T any] struct {
	Content []byte
	Digest  uint64
	Decoded T
}

// Knowledge is what an entry knows; several threads may use it.
type Knowledge struct {
	clock      Clock
	decoder    Decoder
	neighbours *rcu.Cell[neighbour.State]
	routes     *rcu.Cell[directory.Reading[Part[route.Table]]]
	serverList    *rcu.Cell[directory.Reading[Part[[]directory.Server]]]
	servers    *rcu.Cell[directory.Servers]
	clocks     *rcu.Cell[neighbour.Clocks]
	// fleet is the live entries at the last round of exchanges.
	fleet *rcu.Cell[neighbour.Fleet]
	// failingParts is how many parts of the store could not be read at the last try.
	failingParts atomic.Int32
	// changed is told of what others should know at once, such as a new configuration or list of servers.
	changed chan struct{}
}

// NewKnowledge returns the knowledge of an entry that knows itself only.
func NewKnowledge(clock Clock, decoder Decoder, self neighbour.Record) *Knowledge {
	neighbours := neighbour.New(self)
	return &Knowledge{
		clock:      clock,
		decoder:    decoder,
		neighbours: rcu.New(neighbours),
		fleet:      rcu.New(neighbours.Fleet(clock.Now())),
		routes:     rcu.New(directory.Reading[Part[route.Table]]{}),
		serverList:    rcu.New(directory.Reading[Part[[]directory.Server]]{}),
		servers:    rcu.New(directory.Servers{}),
		clocks:     rcu.New(neighbour.Clocks{}),
		changed:    make(chan struct{}, 1),
	}
}

// View returns the snapshots that a call is decided on.
func (knowledge *Knowledge) View() request.View {
	routes := knowledge.routes.Load()
	return request.View{Routes: routes.Value.Decoded, Servers: knowledge.servers.Load(), Age: routes.Age(knowledge.clock.Now())}
}

// Age returns the time since the configuration was known to be the newest.
func (knowledge *Knowledge) Age() time.Duration {
	return knowledge.routes.Load().Age(knowledge.clock.Now())
}

// ServersAge returns the time since the list of servers was known to be the newest.
func (knowledge *Knowledge) ServersAge() time.Duration {
	return knowledge.serverList.Load().Age(knowledge.clock.Now())
}

// Routes returns the configuration.
func (knowledge *Knowledge) Routes() route.Table { return knowledge.routes.Load().Value.Decoded }

// Limits returns what callers may send.
func (knowledge *Knowledge) Limits() route.Limits { return knowledge.Routes().Limits() }

// Servers returns the backend servers.
func (knowledge *Knowledge) Servers() directory.Servers { return knowledge.servers.Load() }

// Neighbours returns what is known of the entries.
func (knowledge *Knowledge) Neighbours() neighbour.State { return knowledge.neighbours.Load() }

// Fleet returns the live entries.
func (knowledge *Knowledge) Fleet() neighbour.Fleet { return knowledge.fleet.Load() }

// Wall returns the wall clock, set right by those of the other entries.
func (knowledge *Knowledge) Wall() time.Time {
	return time.Now().Add(knowledge.clocks.Load().Offset(knowledge.clock.Now()))
}

// addClockSample compares the wall clock with that of an entry whose statement has just arrived.
func (knowledge *Knowledge) addClockSample(record neighbour.Record) {
	offset, now := clockOffset(record.Clock), knowledge.clock.Now()
	knowledge.clocks.Update(func(clocks neighbour.Clocks) neighbour.Clocks {
		return clocks.WithSample(record.Name, offset, now)
	})
}

// setClockGuide compares the wall clock with that of the entry's relay, whose reply has just arrived.
func (knowledge *Knowledge) setClockGuide(record neighbour.Record) {
	offset, now := clockOffset(record.Clock), knowledge.clock.Now()
	knowledge.clocks.Update(func(clocks neighbour.Clocks) neighbour.Clocks { return clocks.WithGuide(offset, now) })
}

// clockOffset returns by how much a clock is ahead of the own wall clock.
func clockOffset(other time.Time) time.Duration {
	// Round strips the monotonic reading, since the wall clocks are compared.
	return other.Sub(time.Now().Round(0))
}

// Left notes that an incarnation of a server does not take work any more.
func (knowledge *Knowledge) Left(id string, born int64) {
	now := knowledge.clock.Now()
	knowledge.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithLeaving(id, born, now) })
}

// TakeRoutes joins a configuration that was the newest at a time of the boot clock.
//
// A nil content stands for the content that is held already.
func (knowledge *Knowledge) TakeRoutes(revision int64, newestAt time.Duration, content []byte) error {
	_, err := mergeContent(knowledge, knowledge.routes, revision, newestAt, content, knowledge.decoder.Routes)
	return err
}

// TakeServers joins a list of servers that was the newest at a time of the boot clock.
//
// A nil content stands for the content that is held already.
func (knowledge *Knowledge) TakeServers(revision int64, newestAt time.Duration, content []byte) error {
	reading, err := mergeContent(knowledge, knowledge.serverList, revision, newestAt, content, knowledge.decoder.Servers)
	if err != nil {
		return err
	}
	listing := directory.Reading[[]directory.Server]{Revision: reading.Revision, NewestAt: reading.NewestAt, Value: reading.Value.Decoded}
	knowledge.servers.Update(func(servers directory.Servers) directory.Servers { return servers.WithReading(listing) })
	return nil
}

// updateCluster changes what is known of the other entries.
func (knowledge *Knowledge) updateCluster(change func(state neighbour.State, now time.Duration) neighbour.State) {
	now := knowledge.clock.Now()
	knowledge.neighbours.Update(func(state neighbour.State) neighbour.State { return change(state, now) })
}

// State raises the entry's own statement by change.
func (knowledge *Knowledge) State(change func(neighbour.Record) neighbour.Record) {
	knowledge.neighbours.Update(func(state neighbour.State) neighbour.State { return state.WithSelf(change(state.Self())) })
}

func mergeContent[T any](knowledge *Knowledge, cell *rcu.Cell[directory.Reading[Part[T]]], revision int64, newestAt time.Duration, content []byte, decode func([]byte) (T, error)) (directory.Reading[Part[T]], error) {
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
		part = Part[T]{Content: content, Digest: digest, Decoded: decoded}
	}
	reading := directory.Reading[Part[T]]{Revision: revision, NewestAt: newestAt, Value: part}
	next := cell.Update(func(current directory.Reading[Part[T]]) directory.Reading[Part[T]] { return current.Merge(reading) })
	if fresh {
		knowledge.notify()
	}
	return next, nil
}

// notify makes the next round of exchanges begin at once; it never waits.
func (knowledge *Knowledge) notify() {
	select {
	case knowledge.changed <- struct{}{}:
	default:
	}
}

// cachedReadFor returns what is held, for a peer that has another content.
func cachedReadFor[T any](knowledge *Knowledge, cell *rcu.Cell[directory.Reading[Part[T]]], other Holding) Holding {
	reading := cell.Load()
	held := Holding{Revision: reading.Revision, Age: reading.Age(knowledge.clock.Now()), Digest: reading.Value.Digest}
	if reading.Revision > other.Revision && other.Digest != held.Digest {
		held.Content = reading.Value.Content
	}
	return held
}
