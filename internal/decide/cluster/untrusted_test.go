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

// Guards against an entry that is not counted, nor taken for alive, for six seconds after its VM's clock was set back
// between two starts: its new incarnation has the lower number.
func TestEntryWhoseClockWasSetBackIsAliveAgain(t *testing.T) {
	const stepped, corrected = 60_000_000_000, 1_000_000_000
	state := cluster.New(entryState("a", 1, 1)).WithHeartbeat(entryState("b", stepped, 9), 0)
	state = state.WithHeartbeat(entryState("b", corrected, 1), time.Second)
	alive := state.Fleet(time.Second).Alive()
	require.Equal(t, []string{"a", "b"}, names(alive))
	assert.EqualValues(t, stepped, alive[1].Incarnation, "a delayed heartbeat of an ended incarnation replaces no live one")
	heartbeat := func(sequence uint64, admitted float64) cluster.EntryState {
		heartbeat := entryState("b", corrected, sequence)
		heartbeat.Admitted = map[string]float64{"desk": admitted}
		return heartbeat
	}
	state = state.WithHeartbeat(heartbeat(2, 10), 2200*time.Millisecond).WithHeartbeat(heartbeat(3, 25), 2700*time.Millisecond)
	alive = state.Fleet(2700 * time.Millisecond).Alive()
	require.Equal(t, []string{"a", "b"}, names(alive))
	assert.EqualValues(t, corrected, alive[1].Incarnation)
	admitted := 0.0
	for _, aggregate := range state.OtherAggregates(2700 * time.Millisecond) {
		admitted += aggregate.Admitted["desk"]
	}
	assert.InDelta(t, 15, admitted, 1e-9, "since the first heartbeat")
}

// Guards against totals that decrease, or that are not finite, because a peer reports counts that go backwards.
func TestTotalsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := cluster.New(entryState("a", 1, 1))
		last, now := map[string]float64{}, time.Duration(0)
		for sequence := range uint64(rapid.IntRange(1, 40).Draw(t, "messages")) {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "sender")
			totals := map[string]float64{"desk": float64(rapid.IntRange(0, 1000).Draw(t, "admitted"))}
			if rapid.Bool().Draw(t, "heartbeat") {
				heartbeat := entryState(name, rapid.Int64Range(1, 3).Draw(t, "incarnation"), sequence+1)
				heartbeat.Admitted, heartbeat.Asked = totals, totals
				state = state.WithHeartbeat(heartbeat, now)
			} else {
				sum := aggregate(name+"#1", sequence+1, name)
				sum.Admitted, sum.Asked = totals, totals
				state = state.WithAggregate(sum, now)
			}
			for _, sum := range state.AggregatesFor("z", now) {
				assert.GreaterOrEqual(t, sum.Admitted["desk"], last[sum.ID])
				last[sum.ID] = sum.Admitted["desk"]
			}
		}
	})
}

// Guards against a state that grows with each message of a stray peer that invents entries.
func TestStateIsBounded(t *testing.T) {
	const invented, bound = 4000, 2048
	state := cluster.New(entryState("a", 1, 1))
	var usages []cluster.Usage
	var lists []cluster.MemberList
	for i := range invented {
		id := fmt.Sprintf("x%d#1", i)
		usages = append(usages, cluster.Usage{ID: id, Counts: usage.Counts{}.WithWindow(1, map[string]int64{"desk": 1})})
		lists = append(lists, cluster.MemberList{Origin: id})
	}
	state = state.WithUsage(usages, 0).WithMemberLists(lists, 0)
	assert.Len(t, state.Usage(), bound)
	assert.LessOrEqual(t, len(state.ReceivedMemberLists(0)), bound)
	members := aggregate("m#1", 1, "m")
	for i := range bound + 10 {
		members.ID = fmt.Sprintf("m%d#1", i)
		state = state.WithAggregate(members, 0)
	}
	assert.LessOrEqual(t, len(state.OtherAggregates(0)), bound)
	kept := maps.Collect(func(yield func(string, bool) bool) {
		for _, entry := range state.Usage() {
			yield(entry.ID, true)
		}
	})
	assert.True(t, kept["x0#1"], "entries that are known are kept")
}
