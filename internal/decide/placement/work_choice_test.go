package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// mixedModel returns a model of servers with different speeds, at least 18 and 13 for each 10 entries.
func mixedModel(entries int, spread float64, policy policy) workModel {
	return workModel{policy: policy, entries: entries, servers: max(18, entries*13/10), spread: spread, rate: 4, speeds: []float64{0.6, 1, 1.6}, length: 40 * time.Second}
}

// Guards against streams that run on slow, crowded servers until their deadline, and against estimates, right or wrong, that cost short
// calls more than they gain.
func TestExpectedWorkEndsMoreStreamsInTime(t *testing.T) {
	results := map[policy]workResult{}
	for _, policy := range []policy{policyCalls, policyEstimated, policyWrong} {
		results[policy] = mixedModel(9, 4, policy).run(1)
		t.Logf("%-10s %+v", policy, results[policy])
	}
	calls := results[policyCalls]
	lost := func(result workResult) float64 { return result.late + result.paused }
	assert.Less(t, lost(results[policyEstimated]), lost(calls))
	assert.LessOrEqual(t, lost(results[policyWrong]), lost(calls))
	for _, result := range results {
		assert.LessOrEqual(t, result.wait99, calls.wait99*11/10)
	}
}

// Guards against many entries that all know the same servers as fast, from reports up to 3 s old, and meet there: the calls of the most used
// tenth of the servers and the wait of short calls stay within a tenth of those by the number of calls, where servers are equal, and
// streams are not lost where they differ.
func TestManyEntriesWithSharedPacesDoNotMeetAtFastServers(t *testing.T) {
	for name, speeds := range map[string][]float64{"equal": {1}, "different": {0.6, 1, 1.6}} {
		t.Run(name, func(t *testing.T) {
			run := func(policy policy) workResult {
				model := mixedModel(86, 4, policy)
				model.speeds, model.paceRounds, model.length = speeds, 6, 32*time.Second
				return model.run(1)
			}
			calls, shared := run(policyCalls), run(policyShared)
			t.Logf("%+v", calls)
			t.Logf("%+v", shared)
			assert.LessOrEqual(t, shared.wait99, calls.wait99*11/10)
			assert.LessOrEqual(t, shared.late+shared.paused, calls.late+calls.paused)
			if name == "equal" {
				assert.LessOrEqual(t, shared.busier, calls.busier*1.1)
			}
		})
	}
}

// BenchmarkWork measures the policies; docs/design/cost-aware-selection.md has the figures.
func BenchmarkWork(b *testing.B) {
	for _, entries := range []int{9, 86, 420} {
		for _, spread := range []float64{1, 4, 16} {
			for _, slowed := range []float64{0, 0.1} {
				for _, policy := range []policy{policyCalls, policyExact, policyEstimated, policyShared, policyWrong} {
					model := mixedModel(entries, spread, policy)
					model.slowed = slowed
					if entries > 100 {
						model.length = 32 * time.Second
					}
					b.Run(fmt.Sprintf("%d_entries/spread_%.0f/slowed_%.1f/%s", entries, spread, slowed, policy), func(b *testing.B) {
						result := model.run(1)
						b.ReportMetric(result.wait50.Seconds()*1000, "wait50-ms")
						b.ReportMetric(result.wait99.Seconds()*1000, "wait99-ms")
						b.ReportMetric(100*result.late, "late-%")
						b.ReportMetric(100*result.paused, "paused-%")
						b.ReportMetric(100*result.busier, "top-tenth-%")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}
