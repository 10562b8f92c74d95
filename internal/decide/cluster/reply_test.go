package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

// The size of a fleet in which an aggregator answers the heartbeats of its entries.
const (
	replyAggregators = 13
	replyEntries     = 24 // of each aggregator
	replyServers     = 3000
	replySlots       = 16
)

// callsAt returns one call in progress at count servers, from the given one on.
func callsAt(first, count int) map[uint32]int {
	running := map[uint32]int{}
	for i := range count {
		running[cluster.ServerKey(fmt.Sprint("i-", (first+i)%replyServers))]++
	}
	return running
}

// largeFleet returns the state of an aggregator in a fleet of about 300 entries, each with calls at 10 of the servers.
func largeFleet(now time.Duration) cluster.State {
	state := cluster.New(cluster.EntryState{Member: cluster.Member{Name: "aggregator-0", Incarnation: 1}})
	for entry := range replyEntries {
		state = state.WithHeartbeat(cluster.EntryState{
			Member: cluster.Member{Name: fmt.Sprint("entry-", entry), Incarnation: 1}, Sequence: 1, Running: callsAt(10*entry, 10),
		}, now)
	}
	for aggregator := 1; aggregator < replyAggregators; aggregator++ {
		var members []cluster.Member
		for entry := range replyEntries {
			members = append(members, cluster.Member{Name: fmt.Sprintf("entry-%d-%d", aggregator, entry), Incarnation: 1})
		}
		state = state.WithAggregate(cluster.Aggregate{
			ID: fmt.Sprintf("aggregator-%d#1", aggregator), Sequence: 1, Running: callsAt(240*aggregator, 240),
		}.WithMembers(members), now)
	}
	return state
}

// Guards against replies to heartbeats that list the calls at each of thousands of servers: an aggregator sent its 24 entries
// 0.7 MB a second, and each of them spent more on the reply than on its calls. Servers with half of their slots taken are listed,
// and so are servers of which the aggregator does not know the slots.
func TestReplyListsBusyServersOnly(t *testing.T) {
	const now = time.Minute
	busy, unknown := cluster.ServerKey("i-5"), cluster.ServerKey("other")
	state := largeFleet(now).WithHeartbeat(cluster.EntryState{
		Member: cluster.Member{Name: "entry-1", Incarnation: 1}, Sequence: 2, Running: map[uint32]int{busy: replySlots / 2, unknown: 1},
	}, now)
	slots := map[uint32]int{}
	for server := range replyServers {
		slots[cluster.ServerKey(fmt.Sprint("i-", server))] = replySlots
	}
	reply := state.AggregatesFor("entry-0", now)[0]
	assert.Greater(t, len(reply.Running), 2000, "the sums have all servers with calls")
	listed := reply.WithoutIdleServers(slots)
	assert.Equal(t, map[uint32]int{busy: reply.Running[busy], unknown: 1}, listed.Running)
	assert.Greater(t, len(reply.Running), 2000, "the aggregate itself is unchanged")
}

// BenchmarkReplyToHeartbeat measures what an aggregator of a large fleet computes for each heartbeat.
func BenchmarkReplyToHeartbeat(b *testing.B) {
	const now = time.Minute
	state := largeFleet(now)
	for b.Loop() {
		_ = state.AggregatesFor("entry-0", now)
	}
}
