package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
)

// levelFleet is a fleet of entries with the same demand, in which each entry reports to one aggregator.
type levelFleet struct {
	states      []cluster.State
	aggregators []int
	now         time.Duration
}

const (
	entryDemand  = 100.0
	entryRunning = 12
	levelServer  = 7
	entrySamples = 5
)

var levelBucket = prefill.NewBucket("engine", 30000)

func newLevelFleet(entries int, aggregators ...int) *levelFleet {
	fleet := &levelFleet{aggregators: aggregators}
	for i := range entries {
		fleet.states = append(fleet.states, cluster.New(entryState(fmt.Sprint("e", i), 1, 1)))
	}
	return fleet
}

// round plays one exchange of every entry: with its aggregator, in turn, or with the other aggregators.
func (fleet *levelFleet) round() {
	fleet.now += 250 * time.Millisecond
	isAggregator := map[int]bool{}
	for _, index := range fleet.aggregators {
		isAggregator[index] = true
	}
	for index := range fleet.states {
		self := fleet.states[index].Self()
		self.Demand, self.Running = map[string]float64{"engine": entryDemand}, map[uint32]int{levelServer: entryRunning}
		self.PrefillSamples = prefill.Counts{levelBucket: entrySamples}
		self.PaceLogs, self.PaceSamples = map[uint32]int{levelServer: -entrySamples}, map[uint32]int{levelServer: entrySamples}
		self.ShareFigures = map[uint32]float64{levelServer: entryDemand}
		fleet.states[index] = fleet.states[index].WithoutExpired(fleet.now).WithSelf(self)
	}
	for index := range fleet.states {
		if !isAggregator[index] {
			fleet.heartbeat(index, fleet.aggregators[index%len(fleet.aggregators)])
			continue
		}
		for _, other := range fleet.aggregators {
			if other != index {
				fleet.aggregate(index, other, true)
				fleet.aggregate(other, index, true)
			}
		}
	}
}

// heartbeat sends the heartbeat of an entry to an aggregator, with its own aggregate if it has one.
func (fleet *levelFleet) heartbeat(from, to int) {
	fleet.states[to] = fleet.states[to].WithHeartbeat(fleet.states[from].Self(), fleet.now)
	fleet.aggregate(from, to, false)
	reply := fleet.states[to].AggregatesFor(fleet.states[from].Self().Name, fleet.now)
	fleet.states[from] = fleet.states[from].WithAggregatorReply(reply, fleet.now)
}

// aggregate sends the aggregate of one entry to another one.
func (fleet *levelFleet) aggregate(from, to int, isAggregator bool) {
	for _, aggregate := range fleet.states[from].Aggregates(isAggregator) {
		fleet.states[to] = fleet.states[to].WithAggregate(aggregate, fleet.now)
	}
}

// restart replaces an entry by its next incarnation, which knows nothing.
func (fleet *levelFleet) restart(index int) {
	incarnation := fleet.states[index].Self().Incarnation + 1
	fleet.states[index] = cluster.New(entryState(fmt.Sprint("e", index), incarnation, 1))
}

// Guards against entries that count twice while aggregators change: the demand of the fleet tripled for two seconds, and
// servers for that were ordered for a minute.
func TestLevelsAreNotCountedTwiceWhileAggregatorsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(4, 9).Draw(t, "entries")
		fleet := newLevelFleet(entries, 0)
		for range 8 {
			fleet.round()
		}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			aggregators := rapid.IntRange(1, 2).Draw(t, "aggregators")
			first := rapid.IntRange(0, entries-1).Draw(t, "first")
			fleet.aggregators = []int{first, (first + 1) % entries}[:aggregators]
			if rapid.Bool().Draw(t, "restart") {
				fleet.restart(first)
			}
			for range rapid.IntRange(1, 10).Draw(t, "rounds") {
				fleet.round()
				for index, state := range fleet.states {
					levels := state.OtherLevels(fleet.now)
					// Shares of sums are by the number of entries, so they are exact only where all have the same members.
					// A tenth is what the plan of servers holds in reserve.
					most := 1.1 * float64(entries-1)
					assert.LessOrEqual(t, levels.Demand["engine"], most*entryDemand, "entry %d", index)
					assert.LessOrEqual(t, levels.ShareFigures[levelServer], most*entryDemand, "entry %d", index)
					assert.LessOrEqual(t, float64(levels.Running[levelServer]), most*entryRunning+float64(entries), "entry %d", index)
				}
			}
		}
		for range 12 {
			fleet.round()
		}
		for index, state := range fleet.states {
			levels := state.OtherLevels(fleet.now)
			assert.InDelta(t, float64(entries-1)*entryDemand, levels.Demand["engine"], 1, "entry %d", index)
			assert.InDelta(t, float64(entries-1)*entryDemand, levels.ShareFigures[levelServer], 1, "entry %d", index)
			assert.Equal(t, (entries-1)*entryRunning, levels.Running[levelServer], "entry %d", index)
			assert.Equal(t, (entries-1)*entrySamples, levels.PrefillSamples[levelBucket], "entry %d", index)
			assert.Equal(t, (entries-1)*entrySamples, levels.PaceSamples[levelServer], "entry %d", index)
			assert.Equal(t, -(entries-1)*entrySamples, levels.PaceLogs[levelServer], "entry %d", index)
		}
	})
}
