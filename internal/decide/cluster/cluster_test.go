package cluster_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
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

// Guards against admitted tokens that an entry counts twice, or never, because its aggregator adds up what it received of
// the others: over any order of messages, what an entry is told grows by what the others admitted.
func TestRelayedTotalsGrowByWhatOthersAdmitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregators := []cluster.State{cluster.New(entryState("a", 1, 1)), cluster.New(entryState("b", 1, 1))}
		names := []string{"r0", "r1", "s0", "s1"} // r0 and r1 send heartbeats to a, s0 and s1 to b.
		admitted := map[string]float64{}
		now, sequence := time.Duration(0), uint64(1)
		exchange := func() {
			sequence++
			now += 100 * time.Millisecond
			for i, name := range names {
				heartbeat := entryState(name, 1, sequence)
				heartbeat.Admitted = map[string]float64{"desk": admitted[name]}
				heartbeat.Asked = map[string]float64{"desk": 2 * admitted[name]}
				aggregators[i/2] = aggregators[i/2].WithHeartbeat(heartbeat, now)
			}
			for i := range aggregators {
				aggregators[i] = aggregators[i].WithSelf(aggregators[i].Self())
			}
			for i := range aggregators {
				for _, aggregate := range aggregators[1-i].Aggregates(true) {
					aggregators[i] = aggregators[i].WithAggregate(aggregate, now)
				}
			}
		}
		told := func(i int) (admitted, asked float64) {
			for _, aggregate := range aggregators[i/2].AggregatesFor(names[i], now) {
				admitted += aggregate.Admitted["desk"]
				asked += aggregate.Asked["desk"]
			}
			return admitted, asked
		}
		exchange()
		exchange()
		base := map[string]float64{}
		for i, name := range names {
			base[name], _ = told(i)
		}
		before := maps.Clone(admitted)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			admitted[name] += float64(rapid.IntRange(1, 9).Draw(t, "size"))
			if rapid.Bool().Draw(t, "exchange") {
				exchange()
			}
		}
		exchange()
		exchange()
		for i, name := range names {
			want := 0.0
			for _, other := range names {
				if other != name {
					want += admitted[other] - before[other]
				}
			}
			got, gotAsked := told(i)
			assert.InDelta(t, want, got-base[name], 1e-9, name)
			assert.InDelta(t, 2*want, gotAsked-2*base[name], 1e-9, name)
		}
	})
}

// Guards against a usage report that lacks the counts of a live entry.
func TestUsageIsCompleteOnceEveryLiveEntryHasReported(t *testing.T) {
	end := time.Unix(100, 0)
	report := func(state cluster.State, id string, asOf time.Time) cluster.State {
		return state.WithUsage([]cluster.Usage{{ID: id, AsOf: asOf}}, 0)
	}
	state := cluster.New(entryState("a", 1, 1))
	assert.Zero(t, state.UsageMissing(end, 0), "no other entry")
	state = state.WithHeartbeat(entryState("b", 1, 1), 0).WithHeartbeat(entryState("c", 1, 1), 0)
	state = report(state, "b#1", end)
	assert.Equal(t, 0.5, state.UsageMissing(end, 0), "nothing of c")
	state = report(state, "c#1", end.Add(-time.Second))
	assert.Equal(t, 0.5, state.UsageMissing(end, 0), "c counts on")
	state = report(report(state, "c#1", end.Add(time.Second)), "c#1", end.Add(-time.Second))
	assert.Zero(t, state.UsageMissing(end, 0), "a delayed report changes nothing")
	state = state.WithHeartbeat(entryState("c", 2, 1), 0)
	assert.Equal(t, 0.5, state.UsageMissing(end, 0), "nothing of the next incarnation of c")
	assert.Zero(t, state.UsageMissing(end, time.Minute), "b and c have ended")
}

// Measures what a leader does with the usage counts of an aggregator's entries: it gets those of all entries.
func BenchmarkUsage(b *testing.B) {
	state := cluster.New(entryState("leader", 1, 1))
	accounts := map[string]int64{}
	for i := range 40 {
		accounts[fmt.Sprint("account-", i)] = 7
	}
	updates := func(from int, latest int64) []cluster.Usage {
		var all []cluster.Usage
		for i := from; i < from+24; i++ {
			counts := usage.Counts{}
			for window := latest - 2; window <= latest; window++ {
				counts = counts.WithWindow(window, accounts)
			}
			all = append(all, cluster.Usage{ID: fmt.Sprintf("e%d#1", i), Counts: counts})
		}
		return all
	}
	for window := range int64(8) {
		for from := 0; from < 420; from += 24 {
			state = state.WithUsage(updates(from, window), 0)
		}
	}
	next := updates(0, 8)
	for b.Loop() {
		state.WithUsage(next, time.Second)
	}
}

// Measures what each round costs an entry of a fleet of 420 for finding out which entries are alive.
func BenchmarkFleet(b *testing.B) {
	const entries, groupSize = 420, 24
	var aggregates []cluster.Aggregate
	for from := 0; from < entries; from += groupSize {
		var members []string
		for i := from; i < from+groupSize; i++ {
			members = append(members, fmt.Sprintf("front-quimper-%03d", i))
		}
		aggregates = append(aggregates, aggregate(fmt.Sprintf("%s#1", members[0]), 1, members...))
	}
	state := cluster.New(entryState("front-quimper-000", 1, 1)).WithAggregatorReply(aggregates, 0)
	fleet := state.Fleet(0)
	b.ReportAllocs()
	for b.Loop() {
		fleet = state.NextFleet(fleet, time.Second)
	}
}
