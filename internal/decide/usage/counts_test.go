package usage_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// Guards against requests that count in another window than the one in which they began.
func TestWindowsFollowTheWallClock(t *testing.T) {
	const length = 5 * time.Second
	at := time.UnixMilli(1_000_004_999)
	assert.EqualValues(t, 200000, usage.WindowAt(at, length))
	assert.EqualValues(t, 200001, usage.WindowAt(at.Add(time.Millisecond), length))
}

// Guards against usage that is left out of the sum, and against counts that grow without a bound.
func TestSumAddsUpAllIncarnations(t *testing.T) {
	one := usage.Counts{}.WithRequest(7, "a").WithRequest(7, "a").WithRequest(7, "b").WithRequest(8, "a")
	two := usage.Counts{}.WithRequest(7, "a")
	assert.Equal(t, map[string]int64{"a": 3, "b": 1}, usage.Sum(7, one, two))
	assert.Equal(t, map[string]int64{"a": 2, "b": 1}, one.Window(7), "the counts that were added up are unchanged")
	for window := range int64(100) {
		one = one.WithRequest(window+9, "a")
	}
	assert.LessOrEqual(t, len(one.Windows()), 8)
}
