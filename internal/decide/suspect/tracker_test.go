package suspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/suspect"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against resends that count as new requests, and against accounts that make each other's requests
// suspect.
func TestFingerprintFollowsAccountAndContent(t *testing.T) {
	first := call.Request{ID: "1", Account: "desk", Service: "menu", Completion: call.Completion{Prompt: "p"}}
	resend, otherAccount := first, first
	resend.ID = "2"
	otherAccount.Account = "kitchen"
	assert.Equal(t, suspect.FingerprintOf(first), suspect.FingerprintOf(resend))
	assert.NotEqual(t, suspect.FingerprintOf(first), suspect.FingerprintOf(otherAccount))
}

// Guards against entries that disagree after they exchanged their trackers.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	first, second := suspect.Fingerprint{Content: 1}, suspect.Fingerprint{Content: 2}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	trackers := []suspect.Tracker{
		{},
		suspect.Tracker{}.WithCrash(first, "a", at(1)),
		suspect.Tracker{}.WithCrash(first, "b", at(2)).WithCrash(second, "b", at(2)),
		suspect.Tracker{}.WithCrash(first, "a", at(3)).WithFinished(first, at(4)),
		suspect.Tracker{}.WithCrash(second, "c", at(5)).WithFinished(second, at(1)),
	}
	for _, x := range trackers {
		assert.Equal(t, x.Merge(x), x.Merge(x).Merge(x))
		for _, y := range trackers {
			assert.Equal(t, x.Merge(y), y.Merge(x))
			for _, z := range trackers {
				assert.Equal(t, x.Merge(y).Merge(z), x.Merge(y.Merge(z)))
			}
		}
	}
	merged := trackers[1].Merge(trackers[2]).Merge(trackers[4])
	assert.Equal(t, suspect.VerdictQuarantined, merged.Verdict(first, at(6)))
	assert.Equal(t, suspect.VerdictQuarantined, merged.Verdict(second, at(6)))
	assert.Equal(t, suspect.VerdictClear, merged.Merge(trackers[3]).Verdict(first, at(6)), "finished after its crashes")
	assert.Equal(t, suspect.VerdictClear, merged.Verdict(first, at(6).Add(time.Hour)), "crashes have expired")
}

// Guards against messages that carry a report of every request that was in flight when many servers crashed,
// and against these reports displacing those of the request that crashes server after server.
func TestRequestsWithMostCrashesAreReportedFirst(t *testing.T) {
	tracker := suspect.Tracker{}
	for i := range 500 {
		tracker = tracker.WithCrash(suspect.Fingerprint{Content: uint64(1000 + i)}, "a", start.Add(time.Second))
	}
	culprit := suspect.Fingerprint{Content: 1}
	tracker = tracker.WithCrash(culprit, "b", start).WithCrash(culprit, "c", start)
	tracker = tracker.WithCrash(suspect.Fingerprint{Content: 2}, "d", start.Add(2*time.Second)).WithFinished(suspect.Fingerprint{Content: 2}, start.Add(3*time.Second))
	reports := tracker.TopReports(10, start.Add(5*time.Second), time.Minute)
	assert.Len(t, reports, 10)
	assert.Equal(t, culprit, reports[0].Fingerprint)
	assert.Equal(t, culprit, reports[1].Fingerprint)
	assert.Empty(t, tracker.TopReports(10, start.Add(time.Hour), time.Minute))
	assert.Equal(t, 1, tracker.WithMaxAge(start.Add(61500*time.Millisecond), time.Minute).Len(), "the request that finished last")
}

// Guards against a request that is refused since its answer was lost three times in a row, although it finished before, and
// against one that crashes every server and is not refused.
func TestRequestThatFinishedRecentlyIsRefusedLater(t *testing.T) {
	finished, crashing := suspect.Fingerprint{Content: 1}, suspect.Fingerprint{Content: 2}
	tracker, now := suspect.Tracker{}.WithCrash(finished, "s0", start).WithFinished(finished, start), start
	for i, server := range []string{"a", "b", "c", "d", "e", "f"} {
		now = now.Add(time.Second)
		tracker = tracker.WithCrash(finished, server, now).WithCrash(crashing, server, now)
		isCrashing, count := tracker.IsCrashing(finished, now, time.Minute)
		assert.Equal(t, i+1, count)
		assert.Equal(t, i+1 >= 6, isCrashing, "finished before, %d crashes", count)
		isCrashing, _ = tracker.IsCrashing(crashing, now, time.Minute)
		assert.Equal(t, i+1 >= 3, isCrashing, "never finished, %d crashes", count)
	}
}

// Guards against entries that go on refusing a request which has finished since servers crashed with it in flight.
func TestCompletionsAreReported(t *testing.T) {
	request := suspect.Fingerprint{Content: 1}
	tracker := suspect.Tracker{}.WithCrash(request, "a", start).WithCrash(request, "b", start)
	other := suspect.Tracker{}.WithReports(tracker.TopReports(10, start, time.Minute))
	assert.Equal(t, 2, other.CrashCount(request, start, time.Minute))
	tracker = tracker.WithFinished(request, start.Add(time.Second))
	other = other.WithReports(tracker.TopReports(10, start.Add(2*time.Second), time.Minute))
	assert.Equal(t, 0, other.CrashCount(request, start.Add(2*time.Second), time.Minute))
}

// Guards against a copy of the tracker for each report that is received again.
func TestKnownReportsChangeNothing(t *testing.T) {
	tracker := suspect.Tracker{}
	for i := range 200 {
		tracker = tracker.WithCrash(suspect.Fingerprint{Content: uint64(i)}, "a", start)
	}
	reports := tracker.Reports()
	assert.Zero(t, testing.AllocsPerRun(10, func() { tracker = tracker.WithReports(reports).WithExpired(start) }))
	assert.Equal(t, 200, tracker.Len())
	assert.Equal(t, tracker, suspect.Tracker{}.WithReports(reports))
}
