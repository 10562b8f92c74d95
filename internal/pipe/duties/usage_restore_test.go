package duties_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
)

// Guards against a second report of a window with other counts, after a restore of the store has lost those that the first leader
// committed: by another leader, which did or did not hear of the report, and by the same one. A window that ended after the restore is
// reported as ever.
func TestRestoreOfTheStoreChangesNoReport(t *testing.T) {
	cases := []struct {
		name string
		// peerCount is the count that the second leader has of the peer. The first one has 5.
		peerCount int64
		// loses is whether the restored store lacks the counts, and hears whether the second leader knows of the report.
		loses, hears bool
		want         []map[string]int64
	}{
		{"counts lost, other counts", 7, true, false, []map[string]int64{{"desk": 15}}},
		{"counts lost, other counts, report known", 7, true, true, []map[string]int64{{"desk": 15}}},
		{"counts lost, same counts, report known", 5, true, true, []map[string]int64{{"desk": 15}, {"desk": 15}}},
		{"counts kept", 7, false, false, []map[string]int64{{"desk": 15}, {"desk": 15}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newPlatform()
				window := usage.WindowAt(time.Now(), windowLength)
				time.Sleep(windowLength + 3*time.Second)
				one, two := withPeerCount("one", window, 5), withPeerCount("two", window, c.peerCount)
				first := platform.newReporter(one)
				second := platform.newReporter(two)
				_ = first.Act(t.Context(), held(1))
				time.Sleep(3 * time.Second)
				assert.NoError(t, first.Act(t.Context(), held(1)))
				if c.hears {
					two.reported.Store(one.reported.Load())
				}
				if c.loses {
					platform.items = map[string][]byte{}
				}
				platform.restoredAt = time.Now()
				_ = second.Act(t.Context(), held(2))
				time.Sleep(3 * time.Second)
				assert.NoError(t, second.Act(t.Context(), held(2)))
				assert.Equal(t, c.want, platform.reports[window])
			})
		})
	}
}

// Guards against a leader that reports other counts than it sent itself, when the answer to its report and the counts in the store
// are lost, and against windows after a restore that nobody reports.
func TestLeaderRepeatsItsOwnReportAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newPlatform()
		platform.reportErr = assert.AnError
		window := usage.WindowAt(time.Now(), windowLength)
		received := withPeerCount("one", window, 5)
		reporter := platform.newReporter(&received)
		time.Sleep(windowLength + 3*time.Second)
		_ = reporter.Act(t.Context(), held(1))
		time.Sleep(3 * time.Second)
		assert.Error(t, reporter.Act(t.Context(), held(1)))
		platform.items, platform.restoredAt, platform.reportErr = map[string][]byte{}, time.Now(), nil
		reported := received.reported
		received = withPeerCount("one", window, 9)
		received.reported = reported
		time.Sleep(time.Second)
		_ = reporter.Act(t.Context(), held(1))
		assert.Equal(t, []map[string]int64{{"desk": 15}, {"desk": 15}}, platform.reports[window])
		next := window + 3
		received = withPeerCount("one", next, 1)
		time.Sleep(time.Until(time.UnixMilli((next + 1) * windowLength.Milliseconds()).Add(7 * time.Second)))
		assert.NoError(t, reporter.Act(t.Context(), held(1)))
		assert.Equal(t, []map[string]int64{{"desk": 11}}, platform.reports[next])
	})
}

// Guards against a window that nobody reports, since it ended soon after the start of an entry whose store has had an era above 0 ever
// since: that is no restore while the window was open.
func TestWindowThatEndsAfterTheStartIsReported(t *testing.T) {
	for _, restoredBeforeStart := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			window := usage.WindowAt(time.Now(), windowLength)
			time.Sleep(time.Until(time.UnixMilli((window + 1) * windowLength.Milliseconds()).Add(-time.Second)))
			platform := newPlatform()
			platform.restoredAt, platform.restoredBeforeStart = time.Now(), restoredBeforeStart
			reporter := platform.newReporter(withPeerCount("one", window, 5))
			time.Sleep(4 * time.Second)
			_ = reporter.Act(t.Context(), held(1))
			time.Sleep(3 * time.Second)
			assert.NoError(t, reporter.Act(t.Context(), held(1)))
			assert.Equal(t, restoredBeforeStart, len(platform.reports[window]) == 1)
		})
	}
}
