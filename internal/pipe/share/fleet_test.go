package share_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	wireshare "github.com/rosemaryspar/rosemaryspar/internal/wire/share"
)

// clock is the virtual time of a synctest bubble.
type clock struct{ start time.Time }

func (clock clock) Now() time.Duration { return time.Since(clock.start) + time.Hour }

// codec decodes a configuration as its version, without routes, and a list of servers from words "ID" and "ID!", the
// latter for a server that is leaving.
type codec struct{}

func (codec codec) Routes(content []byte) (route.Table, error) {
	var version int64
	if _, err := fmt.Sscan(string(content), &version); err != nil {
		return route.Table{}, err
	}
	return route.NewTable(version, nil, nil, nil, route.Limits{}), nil
}

func (codec codec) Servers(content []byte) ([]directory.Server, error) {
	var servers []directory.Server
	for _, word := range strings.Fields(string(content)) {
		id, isLeaving := strings.CutSuffix(word, "!")
		server := directory.Server{ID: id, Service: "s", State: directory.StateReady}
		if isLeaving {
			server.State = directory.StateLeaving
		}
		servers = append(servers, server)
	}
	return servers, nil
}

func (codec codec) WithRolloutsOf(content, _ []byte) ([]byte, error) { return content, nil }

func (codec codec) EncodeServers(servers []directory.Server) ([]byte, error) {
	var words []string
	for _, server := range servers {
		word := server.ID
		if server.State == directory.StateLeaving {
			word += "!"
		}
		words = append(words, word)
	}
	return []byte(strings.Join(words, " ")), nil
}

func (codec codec) Pack(content, base []byte) ([]byte, error) { return wireshare.Pack(content, base) }

func (codec codec) Unpack(packed, base []byte) ([]byte, error) { return wireshare.Unpack(packed, base) }

// store is a fake of the platform's store.
type store struct {
	// era is the number of restores from a backup.
	era *rcu.Cell[int64]
	// version is that of the configuration, 0 for none, and routes its content after the version.
	version *rcu.Cell[int64]
	routes  *rcu.Cell[string]
	// calls counts all reads, and serverReads those of the list of servers.
	calls       *rcu.Cell[int]
	serverReads *rcu.Cell[int]
	// rejectedServerReads counts the reads of the list of servers that the store rejected, by entry.
	rejectedServerReads *rcu.Cell[map[string]int]
	// servers is the encoded list of servers, and serverChanges how often it has changed.
	servers       *rcu.Cell[string]
	serverChanges *rcu.Cell[int64]
	// unavailable contains the names of the entries whose calls the store rejects, "*" for all.
	unavailable *rcu.Cell[map[string]bool]
}

// setServers replaces the list of servers.
func (store *store) setServers(servers string) {
	store.servers.Store(servers)
	store.serverChanges.Update(func(changes int64) int64 { return changes + 1 })
}

// link is one entry's connection to the store.
type link struct {
	store *store
	name  string
	// bandwidth is that of the entry's link, nil for no limit.
	bandwidth *bandwidth
}

func (link link) Routes(ctx context.Context) ([]byte, int64, error) {
	content, revision, err := link.routes()
	if err != nil {
		return nil, revision, err
	}
	return content, revision, link.transmit(ctx, len(content))
}

// transmit waits until an answer of the store with a content has passed the entry's link.
func (link link) transmit(ctx context.Context, contentBytes int) error {
	if link.bandwidth == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return link.bandwidth.transmit(ctx, contentBytes*4/3) // in base64
}

func (link link) routes() ([]byte, int64, error) {
	link.store.calls.Update(func(calls int) int { return calls + 1 })
	if link.store.unavailable.Load()[link.name] || link.store.unavailable.Load()["*"] {
		return nil, 0, errors.New("503")
	}
	version := link.store.version.Load()
	revision := directory.Qualified(link.store.era.Load(), version+link.store.serverChanges.Load())
	if version == 0 {
		return nil, revision, share.ErrNoContent
	}
	return fmt.Append(nil, version, link.store.routes.Load()), revision, nil
}

func (link link) Servers(ctx context.Context) ([]byte, int64, error) {
	link.store.serverReads.Update(func(reads int) int { return reads + 1 })
	_, revision, err := link.routes()
	if err != nil && !errors.Is(err, share.ErrNoContent) {
		link.store.rejectedServerReads.Update(func(reads map[string]int) map[string]int {
			next := maps.Clone(reads)
			next[link.name]++
			return next
		})
	}
	if errors.Is(err, share.ErrNoContent) {
		revision, err = revision+1, nil
	}
	if err != nil {
		return nil, 0, err
	}
	content := []byte(link.store.servers.Load())
	return content, revision, link.transmit(ctx, len(content))
}

// network carries messages between the entries of a fleet, with a delay in each direction.
type network struct {
	fleet map[string]*share.Syncer
	delay time.Duration
	// partitioned contains the entries that are partitioned from all others.
	partitioned *rcu.Cell[map[string]bool]
	// from is the name of the entry that sends.
	from string
	// traffic counts what is sent.
	traffic *traffic
	// bandwidths are those of the entries' links, nil for no limit.
	bandwidths map[string]*bandwidth
}

// traffic counts the messages between entries.
type traffic struct {
	// delayed is the number of delays of messages, in either direction.
	delayed atomic.Int64
	pushes  atomic.Int64
	// lists counts the whole lists of servers in messages and replies, and deltas the differences.
	lists  atomic.Int64
	deltas atomic.Int64
}

func (traffic *traffic) count(read share.CachedRead) {
	if read.Content != nil || read.Packed != nil {
		traffic.lists.Add(1)
	}
	if read.Delta != nil {
		traffic.deltas.Add(1)
	}
}

// wait waits for the delay of the network. Timers of a synctest bubble that expire in several goroutines at the same time
// can crash the race detector of Go 1.26.8, so no two delays are quite equal.
func (network network) wait() {
	time.Sleep(network.delay + time.Duration(network.traffic.delayed.Add(1)%1009)*time.Nanosecond)
}

func (network network) Exchange(ctx context.Context, address string, message share.StateMessage) (share.Reply, error) {
	network.wait()
	if network.partitioned.Load()[network.from] || network.partitioned.Load()[address] || network.fleet[address] == nil {
		<-ctx.Done()
		return share.Reply{}, ctx.Err()
	}
	if err := network.transmit(ctx, network.from, address, message.Routes, message.Servers); err != nil {
		return share.Reply{}, err
	}
	reply := network.fleet[address].Answer(message)
	if message.IsPush {
		network.traffic.pushes.Add(1)
	}
	network.traffic.count(message.Servers)
	network.traffic.count(reply.Servers)
	network.wait()
	return reply, network.transmit(ctx, address, network.from, reply.Routes, reply.Servers)
}

// entry is a fake local entry with settable counts.
type entry struct {
	admitted *rcu.Cell[float64]
	usage    *rcu.Cell[usage.Counts]
	isLeader *rcu.Cell[bool]
	// shared is the entry's shared state.
	shared *share.SharedState
}

func newEntry(shared *share.SharedState) entry {
	return entry{rcu.New(0.0), rcu.New(usage.Counts{}), rcu.New(false), shared}
}

func (entry entry) FillState(state cluster.EntryState) cluster.EntryState {
	state.Admitted = map[string]float64{"desk": entry.admitted.Load()}
	state.Running = map[uint32]int{1: 1}
	state.IsLeader = entry.isLeader.Load()
	state.LeavingServers = entry.shared.Servers().UnlistedDepartures(0)
	return state
}

func (entry entry) Usage() usage.Counts                 { return entry.usage.Load() }
func (entry entry) HandlePeerState(cluster.EntryState)  {}
func (entry entry) HandleClusterUpdate()                {}
func (entry entry) HandleExchange(share.ExchangeRecord) {}

// admit adds to the entry's admitted total, and counts the same number of requests in usage window 7.
func (entry entry) admit(size int) {
	entry.admitted.Update(func(admitted float64) float64 { return admitted + float64(size) })
	for range size {
		entry.usage.Update(func(counts usage.Counts) usage.Counts { return counts.WithRequest(7, "desk") })
	}
}

type seeds []string

func (seeds seeds) Seeds() []string { return seeds }

// fleet is several entries that run in virtual time.
type fleet struct {
	store       *store
	partitioned *rcu.Cell[map[string]bool]
	shared      map[string]*share.SharedState
	entries     map[string]entry
	clock       clock
	traffic     *traffic
	group       sync.WaitGroup
}

// startSpacing is the time between the starts of two entries, so that their timers do not expire at the same time, see
// network.wait.
const startSpacing = 11 * time.Microsecond

// startFleet starts count entries, which run until the context ends. One of their seeds, "gone", has
// no entry.
func startFleet(ctx context.Context, count int) *fleet {
	return startSpacedFleet(ctx, count, startSpacing)
}

// startSpacedFleet is startFleet with another time between the starts of two entries.
func startSpacedFleet(ctx context.Context, count int, spacing time.Duration) *fleet {
	return startLimitedFleet(ctx, count, spacing, nil)
}

// startLimitedFleet is startSpacedFleet with the cores of each entry and the bandwidth of its link, which limit returns.
func startLimitedFleet(ctx context.Context, count int, spacing time.Duration, limit func(entry int) (cores, bytesPerSecond float64)) *fleet {
	fleet := &fleet{
		store: &store{
			era: rcu.New(int64(0)), version: rcu.New(int64(1)), routes: rcu.New(""), calls: rcu.New(0), serverReads: rcu.New(0), rejectedServerReads: rcu.New(map[string]int{}), unavailable: rcu.New(map[string]bool{}),
			servers: rcu.New("s1"), serverChanges: rcu.New(int64(0)),
		},
		partitioned: rcu.New(map[string]bool{}),
		shared:      map[string]*share.SharedState{},
		entries:     map[string]entry{},
		clock:       clock{time.Now()},
		traffic:     &traffic{},
	}
	syncers, bandwidths := map[string]*share.Syncer{}, map[string]*bandwidth{}
	for i := range count {
		name, cores := fmt.Sprint("e", i), 0.0
		if limit != nil {
			var rate float64
			cores, rate = limit(i)
			bandwidths[name] = &bandwidth{bytesPerSecond: rate}
		}
		shared := share.NewSharedState(fleet.clock, codec{}, cluster.EntryState{Member: cluster.Member{Name: name, Address: name, Incarnation: 1, Cores: cores}})
		fleet.shared[name], fleet.entries[name] = shared, newEntry(shared)
		syncers[name] = share.NewSyncer(shared, network{syncers, time.Millisecond, fleet.partitioned, name, fleet.traffic, bandwidths}, fleet.entries[name], seeds{"e0", "e1", "gone"})
	}
	started := 0
	for name, shared := range fleet.shared {
		reader := share.NewStoreReader(shared, link{fleet.store, name, bandwidths[name]}, seeds{"e0", "e1", "gone"}, zerolog.Nop())
		for _, run := range []func(context.Context) error{reader.RunRoutes, reader.RunServers, syncers[name].Run} {
			started++
			delay := time.Duration(started) * spacing
			fleet.group.Go(func() {
				time.Sleep(delay)
				_ = run(ctx)
			})
		}
	}
	return fleet
}

// withFleet starts count entries in virtual time, gives them 5 s to find each other, and calls run.
func withFleet(t *testing.T, count int, run func(t *testing.T, fleet *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := startFleet(ctx, count)
		time.Sleep(5 * time.Second)
		run(t, fleet)
		cancel()
		fleet.group.Wait()
	})
}

// peerSums returns the admitted total and the number of calls at server 1 of all other entries,
// as received by the entry with that name.
func (fleet *fleet) peerSums(name string) (admitted float64, running int) {
	for _, aggregate := range fleet.shared[name].Cluster().OtherAggregates(fleet.clock.Now()) {
		admitted += aggregate.Admitted["desk"]
		running += aggregate.Running[1]
	}
	return admitted, running
}

// aggregators returns the names of the aggregators.
func (fleet *fleet) aggregators() []string { return fleet.aggregatorsOf("e0") }

// aggregatorsOf returns the names of the entries that an entry takes for the aggregators.
func (fleet *fleet) aggregatorsOf(name string) []string {
	var names []string
	for _, aggregator := range fleet.shared[name].Fleet().Aggregators() {
		names = append(names, aggregator.Name)
	}
	return names
}
