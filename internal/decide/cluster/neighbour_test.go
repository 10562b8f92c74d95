package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
)

func record(name string, incarnation int64, sequence uint64) cluster.EntryState {
	return cluster.EntryState{Member: cluster.Member{Name: name, Address: name, Incarnation: incarnation, Cores: 1}, Sequence: sequence}
}

func names(members []cluster.Member) []string {
	found := make([]string, len(members))
	for i, member := range members {
		found[i] = member.Name
	}
	return found
}

// group returns the statement of a relay whose group has those members.
func group(id string, sequence uint64, members ...string) cluster.Aggregate {
	var all []cluster.Member
	for _, name := range members {
		all = append(all, record(name, 1, 0).Member)
	}
	return cluster.Aggregate{ID: id, Sequence: sequence}.WithMembers(all)
}

// Guards against entries that count as alive after their end, and against a former run that hides the present one.
func TestAliveAreTheNewestIncarnationsHeardOfLately(t *testing.T) {
	state := cluster.New(record("a", 1, 1))
	state = state.WithHeartbeat(record("b", 1, 5), time.Second).WithHeartbeat(record("c", 1, 1), time.Second)
	state = state.WithAggregate(group("d#1", 1, "d", "e"), time.Second)
	assert.Equal(t, []string{"a", "b", "c", "d", "e"}, names(state.Fleet(2*time.Second).Alive()))
	state = state.WithHeartbeat(record("b", 1, 4), 4*time.Second).WithHeartbeat(record("c", 1, 2), 4*time.Second)
	assert.Equal(t, []string{"a", "c"}, names(state.Fleet(4*time.Second).Alive()), "an older statement is no sign of life")
	state = state.WithHeartbeat(record("b", 2, 1), 4*time.Second).WithHeartbeat(record("b", 1, 9), 5*time.Second)
	alive := state.Fleet(5 * time.Second).Alive()
	assert.Equal(t, []string{"a", "b", "c"}, names(alive))
	assert.EqualValues(t, 2, alive[1].Incarnation)
	state = state.WithAggregatorReply([]cluster.Aggregate{group("d#1/a", 1, "d", "f")}, 6*time.Second)
	assert.Equal(t, []string{"a", "b", "c", "d", "f"}, names(state.Fleet(6*time.Second).Alive()))
}

// Guards against entries that have ended and are named by one another for ever.
func TestNamedEntriesAreNotNamedOn(t *testing.T) {
	state := cluster.New(record("a", 1, 1)).WithHeartbeat(record("b", 1, 1), 0)
	state = state.WithMemberLists([]cluster.MemberList{{Origin: "x#1", Members: group("", 1, "x", "y").Members}}, 0)
	assert.Equal(t, []string{"a", "b", "x", "y"}, names(state.Fleet(0).Alive()))
	assert.Equal(t, []string{"a", "b"}, names(state.MemberList(0).Members))
	told := cluster.New(record("r", 1, 1)).WithMemberLists(state.ReceivedMemberLists(0), 0)
	assert.Equal(t, []string{"r", "x", "y"}, names(told.Fleet(0).Alive()), "the relay is told")
	assert.Empty(t, told.ReceivedMemberLists(0), "and tells nobody")
	assert.Equal(t, []string{"r"}, names(told.Fleet(3*time.Second).Alive()))
}

// Guards against members that are told again and again, and against those that are lost because they were left out.
func TestMembersThatAreKnownNeedNotBeTold(t *testing.T) {
	full := group("d#1", 1, "d", "e")
	state := cluster.New(record("a", 1, 1)).WithAggregate(full, time.Second)
	assert.Equal(t, full.MemberDigest, state.MemberDigestOf("d#1"))
	later := group("d#1", 2, "d", "e").WithoutMembers()
	state = state.WithAggregate(later, 3*time.Second)
	assert.Equal(t, []string{"a", "d", "e"}, names(state.Fleet(4*time.Second).Alive()))
	other := group("d#1", 3, "d").WithoutMembers()
	assert.Zero(t, state.WithAggregate(other, 4*time.Second).MemberDigestOf("d#1"), "so that the members are told")
	rest := state.WithAggregatorReply([]cluster.Aggregate{group("g#1", 1, "g")}, 4*time.Second)
	assert.Equal(t, []cluster.MemberDigest{{ID: "g#1", Digest: group("g#1", 1, "g").MemberDigest}}, rest.MemberDigests())
}

// Guards against work that two entries take, that a stopping entry keeps, or that a weak one takes.
func TestRanksAreDifferentAtAllEntries(t *testing.T) {
	var all []cluster.EntryState
	for i := range 8 {
		all = append(all, record(fmt.Sprint("e", i), 1, 1))
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
		ranks[state.Fleet(0).ReadRank()] = self.Name
	}
	assert.Len(t, ranks, 8)
	assert.Equal(t, "e5", ranks[0])
	assert.Equal(t, "e3", ranks[7])
	all[5].StoreUnreachable = true
	state := cluster.New(all[5]).WithHeartbeat(all[0], 0)
	assert.Equal(t, 1, state.Fleet(0).ReadRank(), "does not reach the store")
	assert.True(t, state.Fleet(0).IsAggregator(), "but is strong")
}

// Guards against statements of every entry to every other one, and against an entry that
// reports to nobody because it does not reach its relay.
func TestEachEntryReportsToOneRelayThatItReaches(t *testing.T) {
	for _, count := range []int{2, 9, 90, 420} {
		var members []string
		for i := range count {
			members = append(members, fmt.Sprint("e", i))
		}
		loads := map[string]int{}
		for _, name := range members {
			state := cluster.New(record(name, 1, 1)).WithAggregatorReply([]cluster.Aggregate{group("x#1", 1, members...)}, 0)
			targets := state.Fleet(0).Targets(func(string) bool { return true })
			if state.Fleet(0).IsAggregator() {
				assert.Len(t, targets, len(state.Fleet(0).Aggregators())-1)
				continue
			}
			require.Len(t, targets, 1)
			assert.True(t, targets[0].SendHeartbeat)
			loads[targets[0].Address]++
			next := state.Fleet(0).Targets(func(address string) bool { return address != targets[0].Address })
			if len(state.Fleet(0).Aggregators()) == 1 && state.Fleet(0).ReadRank() == 1 {
				assert.Empty(t, next, "the others report to this one")
				continue
			}
			require.Len(t, next, 1)
			assert.NotEqual(t, targets[0].Address, next[0].Address)
		}
		for relay, load := range loads {
			assert.LessOrEqual(t, load, 48, "%s of %d", relay, count)
		}
	}
}

// Guards against windows that are taken from the clock of a machine whose time jumped.
func TestOffsetIsThatOfTheMiddleClock(t *testing.T) {
	cases := []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"alone", nil, 0},
		{"all agree", []time.Duration{time.Millisecond, 2 * time.Millisecond}, time.Millisecond},
		{"two others jumped", []time.Duration{2400 * time.Millisecond, 2400 * time.Millisecond, 0, time.Millisecond, 0}, 0},
		{"the own one jumped", []time.Duration{-2400 * time.Millisecond, -2401 * time.Millisecond, -2399 * time.Millisecond}, -2400 * time.Millisecond},
	}
	for _, c := range cases {
		clocks := cluster.Clocks{}
		for i, offset := range c.offsets {
			clocks = clocks.WithSample(fmt.Sprint(i), offset, time.Second)
		}
		assert.Equal(t, c.want, clocks.Offset(time.Second), c.name)
		assert.Zero(t, clocks.Offset(time.Minute), "%s: old comparisons", c.name)
		guided := clocks.WithAggregatorClock(-5*time.Second, time.Second)
		if len(c.offsets) < 2 {
			assert.Equal(t, -5*time.Second, guided.Offset(time.Second), "%s: the relay compares more clocks", c.name)
		} else {
			assert.Equal(t, c.want, guided.Offset(time.Second), c.name)
		}
	}
}
