package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

func entryState(name string, incarnation int64, sequence uint64) cluster.EntryState {
	return cluster.EntryState{Member: cluster.Member{Name: name, Address: name, Incarnation: incarnation, Cores: 1}, Sequence: sequence}
}

func names(members []cluster.Member) []string {
	found := make([]string, len(members))
	for i, member := range members {
		found[i] = member.Name
	}
	return found
}

// aggregate returns an aggregate with members of the given names.
func aggregate(id string, sequence uint64, members ...string) cluster.Aggregate {
	var all []cluster.Member
	for _, name := range members {
		all = append(all, entryState(name, 1, 0).Member)
	}
	return cluster.Aggregate{ID: id, Sequence: sequence}.WithMembers(all)
}

// Guards against entries that count as alive after they ended, and against an earlier incarnation that hides the
// current one.
func TestAliveAreTheLatestIncarnationsWithRecentHeartbeats(t *testing.T) {
	state := cluster.New(entryState("a", 1, 1))
	state = state.WithHeartbeat(entryState("b", 1, 5), time.Second).WithHeartbeat(entryState("c", 1, 1), time.Second)
	state = state.WithAggregate(aggregate("d#1", 1, "d", "e"), time.Second)
	assert.Equal(t, []string{"a", "b", "c", "d", "e"}, names(state.Fleet(2*time.Second).Alive()))
	state = state.WithHeartbeat(entryState("b", 1, 4), 4*time.Second).WithHeartbeat(entryState("c", 1, 2), 4*time.Second)
	assert.Equal(t, []string{"a", "c"}, names(state.Fleet(4*time.Second).Alive()), "an outdated heartbeat does not prove that the entry is alive")
	state = state.WithHeartbeat(entryState("b", 2, 1), 4*time.Second).WithHeartbeat(entryState("b", 1, 9), 5*time.Second)
	alive := state.Fleet(5 * time.Second).Alive()
	assert.Equal(t, []string{"a", "b", "c"}, names(alive))
	assert.EqualValues(t, 2, alive[1].Incarnation)
	state = state.WithAggregatorReply([]cluster.Aggregate{aggregate("d#1/a", 1, "d", "f")}, 6*time.Second)
	assert.Equal(t, []string{"a", "b", "c", "d", "f"}, names(state.Fleet(6*time.Second).Alive()))
}

// Guards against ended entries that stay in the member lists because entries list them to one another forever.
func TestRelayedMemberListsAreNotPassedOn(t *testing.T) {
	state := cluster.New(entryState("a", 1, 1)).WithHeartbeat(entryState("b", 1, 1), 0)
	state = state.WithMemberLists([]cluster.MemberList{{Origin: "x#1", Members: aggregate("", 1, "x", "y").Members}}, 0)
	assert.Equal(t, []string{"a", "b", "x", "y"}, names(state.Fleet(0).Alive()))
	assert.Equal(t, []string{"a", "b"}, names(state.MemberList(0).Members))
	receiver := cluster.New(entryState("r", 1, 1)).WithMemberLists(state.ReceivedMemberLists(0), 0)
	assert.Equal(t, []string{"r", "x", "y"}, names(receiver.Fleet(0).Alive()), "the aggregator receives the list")
	assert.Empty(t, receiver.ReceivedMemberLists(0), "and does not pass it on")
	assert.Equal(t, []string{"r"}, names(receiver.Fleet(3*time.Second).Alive()))
}

// Guards against members that are sent again in each message, and against entries that no longer count as alive
// because the sender omitted the members.
func TestMembersThatTheReceiverHasAreOmitted(t *testing.T) {
	complete := aggregate("d#1", 1, "d", "e")
	state := cluster.New(entryState("a", 1, 1)).WithAggregate(complete, time.Second)
	assert.Equal(t, complete.MemberDigest, state.MemberDigestOf("d#1"))
	withoutMembers := aggregate("d#1", 2, "d", "e").WithoutMembers()
	state = state.WithAggregate(withoutMembers, 3*time.Second)
	assert.Equal(t, []string{"a", "d", "e"}, names(state.Fleet(4*time.Second).Alive()))
	changedMembers := aggregate("d#1", 3, "d").WithoutMembers()
	assert.Zero(t, state.WithAggregate(changedMembers, 4*time.Second).MemberDigestOf("d#1"), "a zero digest asks for the members")
	withReply := state.WithAggregatorReply([]cluster.Aggregate{aggregate("g#1", 1, "g")}, 4*time.Second)
	assert.Equal(t, []cluster.MemberDigest{{ID: "g#1", Digest: aggregate("g#1", 1, "g").MemberDigest}}, withReply.MemberDigests())
}

// Guards against two entries that have the same rank, and against a stopping entry, or one with fewer cores,
// that ranks before others.
func TestRanksAreDifferentAtAllEntries(t *testing.T) {
	var all []cluster.EntryState
	for i := range 8 {
		all = append(all, entryState(fmt.Sprint("e", i), 1, 1))
	}
	all[3].Stopping, all[3].Cores = true, 9
	all[5].Cores = 2
	ranks := map[int]string{}
	for _, self := range all {
		state := cluster.New(self)
		for _, other := range all {
			if other.Name != self.Name {
				state = state.WithHeartbeat(other, 0)
			}
		}
		ranks[state.Fleet(0).StoreReadRank()] = self.Name
	}
	assert.Len(t, ranks, 8)
	assert.Equal(t, "e5", ranks[0])
	assert.Equal(t, "e3", ranks[7])
	all[5].StoreUnreachable = true
	state := cluster.New(all[5]).WithHeartbeat(all[0], 0)
	assert.Equal(t, 1, state.Fleet(0).StoreReadRank(), "an entry that cannot reach the store ranks last")
	assert.True(t, state.Fleet(0).IsAggregator(), "an entry that cannot reach the store is still an aggregator, by its cores")
}

// Guards against entries that send their state to every other entry, and against an entry that sends no
// heartbeat because it cannot reach its first aggregator.
func TestEachEntryReportsToOneReachableAggregator(t *testing.T) {
	for _, count := range []int{2, 9, 90, 420} {
		var members []string
		for i := range count {
			members = append(members, fmt.Sprint("e", i))
		}
		loads := map[string]int{}
		for _, name := range members {
			state := cluster.New(entryState(name, 1, 1)).WithAggregatorReply([]cluster.Aggregate{aggregate("x#1", 1, members...)}, 0)
			targets := state.Fleet(0).Targets(func(string) bool { return true })
			if state.Fleet(0).IsAggregator() {
				assert.Len(t, targets, len(state.Fleet(0).Aggregators())-1)
				continue
			}
			require.Len(t, targets, 1)
			assert.True(t, targets[0].SendHeartbeat)
			loads[targets[0].Address]++
			next := state.Fleet(0).Targets(func(address string) bool { return address != targets[0].Address })
			if len(state.Fleet(0).Aggregators()) == 1 && state.Fleet(0).StoreReadRank() == 1 {
				assert.Empty(t, next, "the entries ranked below send their heartbeats to this one")
				continue
			}
			require.Len(t, next, 1)
			assert.NotEqual(t, targets[0].Address, next[0].Address)
		}
		for aggregator, load := range loads {
			assert.LessOrEqual(t, load, 48, "heartbeats to aggregator %s of %d entries", aggregator, count)
		}
	}
}

// Guards against usage windows that are taken from a clock that jumped.
func TestOffsetIsThatOfTheMedianClock(t *testing.T) {
	cases := []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"alone", nil, 0},
		{"all agree", []time.Duration{time.Millisecond, 2 * time.Millisecond}, time.Millisecond},
		{"two other clocks jumped", []time.Duration{2400 * time.Millisecond, 2400 * time.Millisecond, 0, time.Millisecond, 0}, 0},
		{"this entry's clock jumped", []time.Duration{-2400 * time.Millisecond, -2401 * time.Millisecond, -2399 * time.Millisecond}, -2400 * time.Millisecond},
	}
	for _, c := range cases {
		clocks := cluster.Clocks{}
		for i, offset := range c.offsets {
			clocks = clocks.WithSample(fmt.Sprint(i), offset, time.Second)
		}
		assert.Equal(t, c.want, clocks.Offset(time.Second), c.name)
		assert.Zero(t, clocks.Offset(time.Minute), "%s: expired samples", c.name)
		withAggregator := clocks.WithAggregatorClock(-5*time.Second, time.Second)
		if len(c.offsets) < 2 {
			assert.Equal(t, -5*time.Second, withAggregator.Offset(time.Second), "%s: the aggregator has more samples", c.name)
		} else {
			assert.Equal(t, c.want, withAggregator.Offset(time.Second), c.name)
		}
	}
}
