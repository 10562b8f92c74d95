package usage_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// Guards against a report of a peer with a wrong clock, or of none: a window far ahead drops those that are still to be reported, and
// counts that are complete in the future end the wait for those of the peer.
func TestReportsFromTheFutureAreDefective(t *testing.T) {
	now := time.UnixMilli(1_000_001_000)
	cases := []struct {
		name   string
		length time.Duration
		window time.Duration // from now
		asOf   time.Duration // from now
		want   usage.Defect
	}{
		{"now", 5 * time.Second, 0, 0, usage.DefectNone},
		{"an idle entry", 5 * time.Second, -3 * time.Hour, 0, usage.DefectNone},
		{"clocks that differ by seconds", 5 * time.Second, 6 * time.Second, 6 * time.Second, usage.DefectNone},
		{"complete in a minute", 5 * time.Second, 0, time.Minute, usage.DefectNone},
		{"complete in more than a minute", 5 * time.Second, 0, time.Minute + time.Microsecond, usage.DefectFuture},
		{"complete at the end of time", 5 * time.Second, 0, math.MaxInt64, usage.DefectFuture},
		{"four windows ahead", 5 * time.Second, 20 * time.Second, 0, usage.DefectNone},
		{"five windows ahead", 5 * time.Second, 25 * time.Second, 0, usage.DefectFuture},
		{"long windows, within a minute", time.Hour, 59 * time.Second, 0, usage.DefectNone},
		{"long windows, the next one", time.Hour, time.Hour, 0, usage.DefectFuture},
	}
	for _, c := range cases {
		counts := usage.Counts{}.WithWindow(usage.WindowAt(now.Add(c.window), c.length), map[string]int64{"desk": 1})
		assert.Equal(t, c.want, usage.Bounds{Now: now, WindowLength: c.length}.Check(counts, now.Add(c.asOf)), c.name)
	}
	bounds := usage.Bounds{Now: now, WindowLength: 5 * time.Second}
	for _, window := range []int64{math.MaxInt64, math.MaxInt64 - 7} {
		assert.Equal(t, usage.DefectFuture, bounds.Check(usage.Counts{}.WithWindow(window, nil), now), "window %d", window)
	}
	assert.Equal(t, usage.DefectNone, bounds.Check(usage.Counts{}, time.UnixMicro(0)), "an entry without calls")
	assert.Equal(t, usage.DefectFuture, bounds.Check(usage.Counts{}, time.UnixMicro(math.MaxInt64)))
}

// Guards against counts that are taken for complete up to a time that has not come: the sender may yet count calls before it.
func TestReportsAreCompleteNoLaterThanNow(t *testing.T) {
	now := time.UnixMilli(1_000_001_000)
	bounds := usage.Bounds{Now: now, WindowLength: 5 * time.Second}
	assert.Equal(t, now, bounds.CompleteUntil(now.Add(30*time.Second)))
	assert.Equal(t, now.Add(-time.Second), bounds.CompleteUntil(now.Add(-time.Second)))
}

// Guards against a report that counts more calls than an entry can begin, or less than none: the platform would bill them, and the sum of
// two such counts overflows.
func TestCountsThatNoEntryReachesAreDefective(t *testing.T) {
	now := time.UnixMilli(1_000_001_000)
	cases := []struct {
		length time.Duration
		count  int64
		want   usage.Defect
	}{
		{5 * time.Second, 0, usage.DefectNone},
		{5 * time.Second, 500_000, usage.DefectNone},
		{5 * time.Second, 500_001, usage.DefectCount},
		{5 * time.Second, math.MaxInt64, usage.DefectCount},
		{5 * time.Second, -1, usage.DefectCount},
		{5 * time.Second, math.MinInt64, usage.DefectCount},
		{100 * time.Millisecond, 100_000, usage.DefectNone},
		{100 * time.Millisecond, 100_001, usage.DefectCount},
		{time.Hour, 360_000_000, usage.DefectNone},
		{time.Hour, 360_000_001, usage.DefectCount},
	}
	for _, c := range cases {
		bounds := usage.Bounds{Now: now, WindowLength: c.length}
		counts := usage.Counts{}.WithWindow(usage.WindowAt(now, c.length), map[string]int64{"desk": c.count})
		assert.Equal(t, c.want, bounds.Check(counts, now), "%d calls in %v", c.count, c.length)
	}
	bounds := usage.Bounds{Now: now, WindowLength: 5 * time.Second}
	both := usage.Counts{}.WithWindow(usage.WindowAt(now, bounds.WindowLength), map[string]int64{"desk": 300_000, "fitters": 200_001})
	assert.Equal(t, usage.DefectCount, bounds.Check(both, now), "the calls of all accounts")
	const most = 922_337_203_685_477 // in the longest window
	longest := usage.Bounds{Now: now, WindowLength: math.MaxInt64}
	counts := usage.Counts{}.WithWindow(0, map[string]int64{"desk": most})
	assert.Equal(t, usage.DefectNone, longest.Check(counts, now))
	assert.Equal(t, usage.DefectCount, longest.Check(counts.WithRequest(0, "desk"), now))
	assert.EqualValues(t, 4096*most, usage.Sum(0, slices.Repeat([]usage.Counts{counts}, 4096)...)["desk"], "the sum of all entries overflows")
}

// Guards against windows that no entry counts, which drop others of the same report although it is believed to be complete, and against
// reports that fill the memory.
func TestWindowsThatNoEntryHasAreDefective(t *testing.T) {
	now := time.UnixMilli(1_000_001_000)
	bounds := usage.Bounds{Now: now, WindowLength: 5 * time.Second}
	current := usage.WindowAt(now, bounds.WindowLength)
	desk := map[string]int64{"desk": 1}
	for _, window := range []int64{-1, math.MinInt64} {
		assert.Equal(t, usage.DefectWindow, bounds.Check(usage.Of(map[int64]map[string]int64{window: desk, current: desk}), now), "window %d", window)
	}
	windows := map[int64]map[string]int64{}
	for i := range int64(8) {
		windows[current-10*i] = desk
	}
	assert.Equal(t, usage.DefectNone, bounds.Check(usage.Of(windows), now), "as many windows as an entry keeps")
	windows[0] = desk
	assert.Equal(t, usage.DefectWindow, bounds.Check(usage.Of(windows), now))
}
