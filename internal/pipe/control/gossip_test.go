package control_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

const (
	// callBytes is the number of bytes that HTTP/2 adds to a call on a new connection
	// in both directions (go test -bench Overhead ./internal/wire/peer).
	callBytes = 362
	// oneWayLatency is the latency of a message between failure domains.
	oneWayLatency = 1500 * time.Microsecond
	// loadBytes and demandBytes are the sizes of the items for 4 services and 5 client accounts.
	loadBytes, demandBytes = 32, 40
	// reportTTL is the time after which a reported item expires.
	reportTTL = time.Minute
)

// network connects entries in memory through the real codec and counts the bytes sent.
type network struct {
	gossips map[string]*control.Gossip
	cells   map[string]*rcu.Cell[membership.State]
	bytes   map[string]*atomic.Int64
	// partitioned reports whether the failure domains before d3 are separated from the other domains.
	partitioned atomic.Bool
}

// link is the connection of one entry to the network.
type link struct {
	*network
	name   string
	domain string
}

func (link link) Exchange(ctx context.Context, target membership.Member, offer membership.Offer) (membership.Reply, error) {
	if err := delay(ctx); err != nil || link.partitioned.Load() && (link.domain < "d3") != (target.Domain < "d3") {
		return membership.Reply{}, errors.New("unreachable")
	}
	request, err := proto.Marshal(peer.EncodeOffer(offer))
	if err != nil {
		return membership.Reply{}, err
	}
	var message peer.ExchangeRequest
	if err := proto.Unmarshal(request, &message); err != nil {
		return membership.Reply{}, err
	}
	received, err := peer.DecodeOffer(&message)
	if err != nil {
		return membership.Reply{}, err
	}
	response, err := proto.Marshal(peer.EncodeReply(link.gossips[target.Name].Answer(received)))
	if err != nil {
		return membership.Reply{}, err
	}
	for _, name := range []string{link.name, target.Name} {
		link.bytes[name].Add(int64(len(request) + len(response) + callBytes))
	}
	var answer peer.ExchangeResponse
	if err := proto.Unmarshal(response, &answer); err != nil {
		return membership.Reply{}, err
	}
	if err := delay(ctx); err != nil {
		return membership.Reply{}, err
	}
	return peer.DecodeReply(&answer)
}

func delay(ctx context.Context) error {
	select {
	case <-time.After(oneWayLatency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report returns items of typical size.
func (link link) Report(now time.Time) []membership.Item {
	expires := now.Add(reportTTL).Unix()
	return []membership.Item{
		{Kind: membership.KindLoad, Payload: make([]byte, loadBytes), Expires: expires},
		{Kind: membership.KindDemand, Payload: make([]byte, demandBytes), Expires: expires},
		{Kind: membership.KindRevision, Payload: make([]byte, 3), Expires: expires},
	}
}

// newNetwork returns entries in 7 failure domains, each of which already has all others in its membership.
func newNetwork(entries int) *network {
	network := &network{gossips: map[string]*control.Gossip{}, cells: map[string]*rcu.Cell[membership.State]{}, bytes: map[string]*atomic.Int64{}}
	states := make([]membership.State, entries)
	for i := range states {
		origin := membership.Origin{Name: fmt.Sprintf("entry-quimper-%04d", i), Incarnation: membership.Incarnation{Start: time.Now().UnixNano(), Random: uint32(i)}}
		states[i] = membership.NewState(origin, membership.Profile{Address: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200), Domain: fmt.Sprintf("d%d", i%7), Region: fmt.Sprintf("r%d", i%7/3)})
		_, reply := states[i].WithOffer(states[0].Offer(), time.Now())
		states[0], _ = states[0].WithReply(reply, time.Now())
	}
	for i, state := range states {
		_, reply := states[0].WithOffer(state.Offer(), time.Now())
		state, _ = state.WithReply(reply, time.Now())
		for range 4 { // After 4 rounds, no updates from the start are left to send.
			state = state.WithRound()
		}
		name, domain := state.Self().Name, fmt.Sprintf("d%d", i%7)
		network.cells[name] = rcu.New(state)
		network.bytes[name] = &atomic.Int64{}
		endpoint := link{network, name, domain}
		network.gossips[name] = control.NewGossip(network.cells[name], endpoint, endpoint, newRandom(uint64(i)))
	}
	return network
}

// start runs all entries until ctx ends; their first rounds start at different times.
func (network *network) start(ctx context.Context) *control.Group {
	group := control.NewGroup(ctx)
	for i, name := range slices.Sorted(maps.Keys(network.gossips)) {
		group.Go(func(ctx context.Context) error {
			select {
			case <-time.After(20 * time.Millisecond * time.Duration(i%50)):
				return network.gossips[name].Run(ctx)
			case <-ctx.Done():
				return nil
			}
		})
	}
	return group
}

// traffic returns the mean and the highest number of bytes that an entry sent and received
// since the last call.
func (network *network) traffic() (mean, highest float64) {
	for _, bytes := range network.bytes {
		count := float64(bytes.Swap(0))
		mean += count / float64(len(network.bytes))
		highest = max(highest, count)
	}
	return mean, highest
}

// timeUntil returns the times until the first and the second condition hold at every entry, each at most 20 s.
func (network *network) timeUntil(first, second func(membership.State) bool) (time.Duration, time.Duration) {
	const step, limit = 100 * time.Millisecond, 20 * time.Second
	firstTime, secondTime := limit, limit
	for elapsed := step; elapsed < limit && max(firstTime, secondTime) == limit; elapsed += step {
		<-time.After(step)
		if firstTime == limit && network.holdsEverywhere(first) {
			firstTime = elapsed
		}
		if secondTime == limit && network.holdsEverywhere(second) {
			secondTime = elapsed
		}
	}
	return firstTime, secondTime
}

func (network *network) holdsEverywhere(condition func(membership.State) bool) bool {
	for _, cell := range network.cells {
		if !condition(cell.Load()) {
			return false
		}
	}
	return true
}

func hasStatus(name string, want membership.Status) func(membership.State) bool {
	return func(state membership.State) bool {
		member, _ := state.View().Member(name)
		return member.Status() == want
	}
}

// BenchmarkGossip reports the cost per entry in steady state, and the times in which an
// urgent update and a configuration revision reach all entries.
func BenchmarkGossip(b *testing.B) {
	for _, entries := range []int{8, 100, 420} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			for b.Loop() {
				var measured costs
				inBubble(b, func(t *testing.T) { measured = measure(t.Context(), entries, 4*time.Second) })
				b.ReportMetric(measured.bytesPerSecond, "B/s")
				b.ReportMetric(measured.mostPerSecond, "most-B/s")
				b.ReportMetric(measured.corePercent, "core-%")
				b.ReportMetric(measured.heapBytes/1e6, "MB")
				b.ReportMetric(measured.urgent.Seconds(), "urgent-s")
				b.ReportMetric(measured.revision.Seconds(), "revision-s")
			}
		})
	}
}

// inBubble runs a function in virtual time, which package synctest provides for tests only.
func inBubble(b *testing.B, run func(t *testing.T)) {
	all := func(string, string) (bool, error) { return true, nil }
	test := testing.InternalTest{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, run) }}
	if !testing.RunTests(all, []testing.InternalTest{test}) {
		b.Fail()
	}
}

// Guards against gossip whose traffic, memory or propagation time exceeds the limits below at
// 420 entries, the number expected in two years.
func TestGossipStaysWithinItsLimitsAt420Entries(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		measured := measure(t.Context(), 420, 3*time.Second)
		t.Logf("%+v", measured)
		assert.Less(t, measured.bytesPerSecond, 21000.0)
		assert.Less(t, measured.heapBytes, 64e6)
		assert.Less(t, measured.urgent, 8*time.Second)
		assert.Less(t, measured.revision, 8*time.Second)
	})
}

// Guards against a partition that outlasts its cause because each side considers the entries
// of the other gone.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const entries = 21
		network := newNetwork(entries)
		ctx, cancel := context.WithCancel(t.Context())
		group := network.start(ctx)
		live := func(count int) func(membership.State) bool {
			return func(state membership.State) bool { return len(state.View().Live()) == count }
		}
		joined, _ := network.timeUntil(live(entries), live(entries))
		network.partitioned.Store(true)
		<-time.After(30 * time.Second)
		firstSide, secondSide := 0, 0
		for _, cell := range network.cells {
			state := cell.Load()
			self, _ := state.View().Member(state.Self().Name)
			if self.Domain < "d3" && live(9)(state) {
				firstSide++
			}
			if self.Domain >= "d3" && live(12)(state) {
				secondSide++
			}
		}
		assert.Equal(t, []int{9, 12}, []int{firstSide, secondSide}, "entries whose live members are exactly those of their own side")
		network.partitioned.Store(false)
		healed, _ := network.timeUntil(live(entries), live(entries))
		t.Logf("all entries live after %v, partition healed after %v", joined, healed)
		assert.Less(t, healed, 15*time.Second)
		cancel()
		assert.NoError(t, group.Wait())
	})
}

// costs is the measured cost of gossip per entry, and the times in which updates reach all entries.
type costs struct {
	// bytesPerSecond is the mean over all entries, and mostPerSecond the highest value of one entry.
	bytesPerSecond, mostPerSecond float64
	corePercent, heapBytes        float64
	urgent, revision              time.Duration
}

// measure runs entries within a synctest bubble and measures their costs.
//
// The processor time is that of the process, with the real codec and without
// HTTP/2. The memory is the live heap divided by the number of entries.
func measure(ctx context.Context, entries int, steady time.Duration) costs {
	emptyHeap := liveHeap()
	network := newNetwork(entries)
	ctx, cancel := context.WithCancel(ctx)
	group := network.start(ctx)
	<-time.After(6 * time.Second) // By then the first reports have reached all entries.
	network.traffic()
	cpuTime := processorTime()
	<-time.After(steady)
	cpuTime = processorTime() - cpuTime
	mean, highest := network.traffic()
	measured := costs{
		bytesPerSecond: mean / steady.Seconds(),
		mostPerSecond:  highest / steady.Seconds(),
		corePercent:    100 * cpuTime.Seconds() / steady.Seconds() / float64(entries),
		heapBytes:      float64(liveHeap()-emptyHeap) / float64(entries),
	}
	leaver := "entry-quimper-0003"
	network.gossips[leaver].Update(membership.State.WithLeaving)
	network.gossips[leaver].Update(func(state membership.State) membership.State { return state.WithRevision(7) })
	measured.urgent, measured.revision = network.timeUntil(hasStatus(leaver, membership.StatusLeaving), func(state membership.State) bool { return state.Revision() == 7 })
	cancel()
	_ = group.Wait()
	return measured
}

func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
