package usage_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// Guards against requests that are counted in a window other than the one in which they began to run.
func TestWindowsFollowTheWallClock(t *testing.T) {
	const length = 5 * time.Second
	at := time.UnixMilli(1_000_004_999)
	assert.EqualValues(t, 200000, usage.WindowAt(at, length))
	assert.EqualValues(t, 200001, usage.WindowAt(at.Add(time.Millisecond), length))
}

// Guards against incarnations that are missing from the sum, and against counts that grow without bound.
func TestSumAddsUpAllIncarnations(t *testing.T) {
	counts := usage.Counts{}.WithRequest(7, "a").WithRequest(7, "a").WithRequest(7, "b").WithRequest(8, "a")
	restarted := usage.Counts{}.WithRequest(7, "a")
	assert.Equal(t, map[string]int64{"a": 3, "b": 1}, usage.Sum(7, counts, restarted))
	assert.Equal(t, map[string]int64{"a": 2, "b": 1}, counts.Window(7), "Sum changed the counts that it added up")
	for window := range int64(100) {
		counts = counts.WithRequest(window+9, "a")
	}
	assert.LessOrEqual(t, len(counts.Windows()), 8)
}

// Guards against a peer's report that names windows long past: merged one after the other, they grew without bound, and the smallest
// number dropped the counts of all other windows, since the first window to keep overflowed.
func TestMergeIgnoresWindowsBeforeTheLatestEight(t *testing.T) {
	report := func(window int64) usage.Counts {
		return usage.Counts{}.WithWindow(window, map[string]int64{"desk": 3})
	}
	counts := report(1000)
	for window := int64(999); window > 900; window-- {
		counts = counts.Merge(report(window))
	}
	assert.Len(t, counts.Windows(), 8)
	assert.Equal(t, map[string]int64{"desk": 3}, counts.Window(993), "the earliest window that is kept")
	for _, window := range []int64{math.MinInt64, math.MinInt64 + 7, -1, 0, 992} {
		assert.Equal(t, counts, counts.Merge(report(window)), "window %d", window)
	}
}

// Guards against a late or faulty report that takes back counts of the same incarnation.
func TestMergeNeverLowersACount(t *testing.T) {
	counts := usage.Counts{}.WithWindow(7, map[string]int64{"desk": 5, "fitters": 2})
	for _, lower := range []int64{4, 0, -1, math.MinInt64} {
		assert.Equal(t, counts, counts.Merge(usage.Counts{}.WithWindow(7, map[string]int64{"desk": lower})), "count %d", lower)
	}
}
