package usage_test

import (
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
