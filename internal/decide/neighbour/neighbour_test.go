package neighbour_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
)

func record(name string, incarnation int64, sequence uint64) neighbour.Record {
	return neighbour.Record{Name: name, Incarnation: incarnation, Sequence: sequence}
}

func names(records []neighbour.Record) []string {
	found := make([]string, len(records))
	for i, record := range records {
		found[i] = record.Name
	}
	return found
}

// Guards against entries that count as alive after their end, and against a former run that hides the present one.
func TestAliveAreTheNewestIncarnationsHeardOfLately(t *testing.T) {
	state := neighbour.New(record("a", 1, 1), 0)
	state = state.WithRecords([]neighbour.Record{record("b", 1, 5), record("c", 1, 1)}, time.Second)
	assert.Equal(t, []string{"a", "b", "c"}, names(state.Alive(2*time.Second)))
	state = state.WithRecords([]neighbour.Record{record("b", 1, 4), record("c", 1, 2)}, 4*time.Second)
	assert.Equal(t, []string{"a", "c"}, names(state.Alive(4*time.Second)), "an older statement is no sign of life")
	state = state.WithRecords([]neighbour.Record{record("b", 2, 1)}, 4*time.Second)
	assert.Equal(t, []string{"a", "b", "c"}, names(state.Alive(4*time.Second)))
	assert.Len(t, state.All(), 4, "the usage of the former run still counts")
	state = state.WithRecords(nil, 2*time.Minute)
	assert.Equal(t, []string{"a"}, names(state.All()))
}

// Guards against exchanges that leave records out, or that carry what the peer has.
func TestSinceReturnsWhatThePeerLacks(t *testing.T) {
	one := neighbour.New(record("a", 1, 1), 0).WithRecords([]neighbour.Record{record("b", 1, 5), record("c", 1, 1)}, 0)
	two := neighbour.New(record("d", 1, 1), 0).WithRecords([]neighbour.Record{record("b", 1, 4), record("c", 1, 1)}, 0)
	missing := one.Since(two.Versions())
	assert.ElementsMatch(t, []string{"a", "b"}, names(missing))
	two = two.WithRecords(missing, 0)
	assert.Empty(t, one.Since(two.Versions()))
}

// Guards against work that two entries take, or that a stopping entry keeps.
func TestRanksAreDifferentAtAllEntries(t *testing.T) {
	var all []neighbour.Record
	for i := range 8 {
		all = append(all, record(fmt.Sprint("e", i), 1, 1))
	}
	all[3].Stopping = true
	ranks := map[int]string{}
	for _, self := range all {
		state := neighbour.New(self, 0).WithRecords(all, 0)
		ranks[state.Rank("read", 0)] = self.Name
	}
	assert.Len(t, ranks, 8)
	assert.Equal(t, "e3", ranks[7])
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
		clocks := neighbour.Clocks{}
		for i, offset := range c.offsets {
			clocks = clocks.WithSample(fmt.Sprint(i), offset, time.Second)
		}
		assert.Equal(t, c.want, clocks.Offset(time.Second), c.name)
		assert.Zero(t, clocks.Offset(time.Minute), "%s: old comparisons", c.name)
	}
}
