package usage_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// Guards against a repeated report with counts that differ from those that were reported, or whose counts two entries tell
// differently, and against a memory that grows with what peers say.
func TestReportedWindowsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) usage.Reported {
			reported := usage.Reported{}
			for range rapid.IntRange(0, 12).Draw(t, "reports") {
				reported = reported.WithReport(rapid.Int64Range(0, 20).Draw(t, "window"), map[string]int64{"desk": rapid.Int64Range(0, 3).Draw(t, "count")})
			}
			return reported
		})
		a, b := draw.Draw(t, "a"), draw.Draw(t, "b")
		assert.Equal(t, a.Merge(b).Digests(), b.Merge(a).Digests())
		assert.LessOrEqual(t, len(a.Merge(b).Digests()), usage.MaxReported)
	})
	reported := usage.Reported{}.WithReport(7, map[string]int64{"desk": 3, "lab": 1})
	assert.True(t, reported.HasCounts(7, map[string]int64{"lab": 1, "desk": 3}))
	assert.False(t, reported.HasCounts(7, map[string]int64{"desk": 3}))
	assert.False(t, reported.HasCounts(8, map[string]int64{"desk": 3, "lab": 1}))
	assert.False(t, reported.WithReport(7, map[string]int64{"desk": 4}).HasCounts(7, map[string]int64{"desk": 4}), "two entries tell different counts")
	assert.False(t, reported.Until(6).Has(7), "a window that has not ended")
}
