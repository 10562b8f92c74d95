package duties_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

const windowLength = 5 * time.Second

// platform is a fake of the store and of the usage API; each call of Commit uses up one of the faults.
type platform struct {
	items   map[string][]byte
	faults  []fault
	reports map[int64][]map[string]int64
	// reportErr is the result of each usage report.
	reportErr error
	// restoredAt is when the store was restored from a backup, the zero time for never.
	restoredAt time.Time
	// restoredBeforeStart reports that the entry has seen no earlier era.
	restoredBeforeStart bool
}

func newPlatform() *platform {
	return &platform{items: map[string][]byte{}, reports: map[int64][]map[string]int64{}}
}

// newReporter returns a reporter to the platform, with 10 s from the end of a window until its deadline.
func (platform *platform) newReporter(source duties.UsageSource) *duties.UsageReporter {
	return duties.NewUsageReporter(platform, platform, source, windowLength, 10*time.Second, zerolog.Nop())
}

func (platform *platform) Status() metadata.StoreStatus {
	return metadata.StoreStatus{RestoreSeenAt: platform.restoredAt, RestoredBeforeStart: platform.restoredBeforeStart}
}

// fault is a fault of the store in one change.
type fault string

const (
	// lost means that the change is applied but its answer is lost.
	lost fault = "lost"
	// refused means that the change is not applied.
	refused fault = "refused"
)

func (platform *platform) Commit(_ context.Context, change metadata.Change) (int64, error) {
	var fault fault
	if len(platform.faults) > 0 {
		fault, platform.faults = platform.faults[0], platform.faults[1:]
	}
	if fault == refused {
		return 0, &metadata.RefusedError{Status: 503}
	}
	for _, expected := range change.Expects {
		if value, ok := platform.items[expected.Key]; ok {
			return 0, &metadata.ConflictError{Items: []metadata.Item{{Key: expected.Key, Value: value, Revision: 1}}}
		}
	}
	for _, item := range change.Writes {
		platform.items[item.Key] = item.Value
	}
	for _, key := range change.Removes {
		delete(platform.items, key)
	}
	if fault == lost {
		return 0, errors.New("no answer")
	}
	return 1, nil
}

func (platform *platform) ReportUsage(_ context.Context, _, window int64, counts map[string]int64) error {
	platform.reports[window] = append(platform.reports[window], counts)
	return platform.reportErr
}

// entries is the [duties.UsageSource] of a leader: the counts received from its peers, and its own.
type entries struct {
	state     cluster.State
	ownCounts usage.Counts
	reported  *rcu.Cell[usage.Reported]
}

func (entries entries) Reported() usage.Reported { return entries.reported.Load() }
func (entries entries) AddReported(window int64, counts map[string]int64) {
	entries.reported.Update(func(reported usage.Reported) usage.Reported { return reported.WithReport(window, counts) })
}

func (entries entries) UsageMissing(until time.Time) float64 {
	return entries.state.UsageMissing(until, 0)
}
func (entries entries) Cluster() cluster.State { return entries.state }
func (entries entries) Usage() usage.Counts    { return entries.ownCounts }
func (entries entries) WallTime() time.Time    { return time.Now() }

// withPeerCount returns the counts at a leader that counted 10 requests in a window itself, and whose only
// peer reported peerCount.
func withPeerCount(name string, window, peerCount int64) entries {
	counts := func(count int64) usage.Counts {
		return usage.Counts{}.WithWindow(window, map[string]int64{"desk": count})
	}
	self := cluster.EntryState{Member: cluster.Member{Name: name}}
	return entries{cluster.New(self).WithUsage([]cluster.Usage{{ID: "peer#1", Counts: counts(peerCount)}}, 0), counts(10), rcu.New(usage.Reported{})}
}

// Guards against reports of one window with different counts when answers are lost, the store is
// unavailable or the API fails, and then an entry that has other counts becomes leader.
func TestReportsOfAWindowAreExactRepeats(t *testing.T) {
	cases := map[string][]fault{
		"no fault": nil, "lost answer": {lost}, "store unavailable": {refused, refused}, "store unavailable, then lost answer": {refused, lost},
	}
	for name, faults := range cases {
		for _, reportErr := range []error{nil, errors.New("no answer")} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					platform := newPlatform()
					platform.faults, platform.reportErr = faults, reportErr
					window := usage.WindowAt(time.Now(), windowLength)
					time.Sleep(windowLength + 3*time.Second)
					firstReporter := platform.newReporter(withPeerCount("one", window, 5))
					secondReporter := platform.newReporter(withPeerCount("two", window, 7))
					_ = firstReporter.Act(t.Context(), held(1))
					time.Sleep(3 * time.Second)
					for range 4 {
						_ = firstReporter.Act(t.Context(), held(1))
						time.Sleep(250 * time.Millisecond)
					}
					_ = secondReporter.Act(t.Context(), held(2))
					time.Sleep(3 * time.Second)
					_ = secondReporter.Act(t.Context(), held(2))
					assert.NotEmpty(t, platform.reports[window])
					for _, counts := range platform.reports[window] {
						assert.Equal(t, map[string]int64{"desk": 15}, counts)
					}
				})
			})
		}
	}
}

// withPeer returns the counts at a leader that has received 5 requests in a window from its live peer, complete up to asOf.
func withPeer(window int64, asOf time.Time) entries {
	received := withPeerCount("one", window, 0)
	peer := cluster.EntryState{Member: cluster.Member{Name: "peer", Incarnation: 1}, Sequence: 1}
	counts := usage.Counts{}.WithWindow(window, map[string]int64{"desk": 5})
	received.state = received.state.WithHeartbeat(peer, 0).WithUsage([]cluster.Usage{{ID: peer.ID(), Counts: counts, AsOf: asOf}}, 0)
	return received
}

// Guards against a window that is reported before the counts of all entries have arrived, long after that, or never: how
// long counts take depends on the number of entries.
func TestWindowIsReportedOnceAllCountsHaveArrived(t *testing.T) {
	cases := []struct {
		name string
		// arrival is the time from the end of the window until the peer's counts are complete.
		arrival time.Duration
		// wantAt is the time from the end until the report, and want what it has of the peer.
		wantAt time.Duration
	}{
		{"soon", 300 * time.Millisecond, 500 * time.Millisecond},
		{"after some seconds", 5 * time.Second, 5 * time.Second},
		{"never", time.Hour, 6500 * time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			platform := newPlatform()
			time.Sleep(4 * windowLength) // The leader has led for longer than a new one waits.
			window := usage.WindowAt(time.Now(), windowLength)
			end := time.UnixMilli((window + 1) * windowLength.Milliseconds())
			received := withPeer(window, end.Add(-time.Millisecond))
			reporter := platform.newReporter(&received)
			assert.NoError(t, reporter.Act(t.Context(), held(1)))
			reportedAt := time.Duration(0)
			for time.Since(end) < 9*time.Second && reportedAt == 0 {
				time.Sleep(250 * time.Millisecond)
				if time.Since(end) >= c.arrival {
					received = withPeer(window, time.Now())
				}
				assert.NoError(t, reporter.Act(t.Context(), held(1)))
				if len(platform.reports[window]) > 0 {
					reportedAt = time.Since(end)
				}
			}
			assert.InDelta(t, c.wantAt.Seconds(), reportedAt.Seconds(), 0.3, c.name)
			assert.Equal(t, []map[string]int64{{"desk": 15}}, platform.reports[window], c.name)
		})
	}
}

// Guards against a report with the counts of the leader alone: an entry that became leader 3.5 s before the deadline reported 47
// requests of 2,957, and the counts of the others came within two seconds.
func TestNewLeaderWaitsLongerForCountsThatItDoesNotHave(t *testing.T) {
	for arrival, want := range map[time.Duration]int64{8 * time.Second: 15, time.Hour: 10} {
		synctest.Test(t, func(t *testing.T) {
			platform := newPlatform()
			window := usage.WindowAt(time.Now(), windowLength)
			end := time.UnixMilli((window + 1) * windowLength.Milliseconds())
			received := withPeerCount("one", window, 0)
			received.state = received.state.WithHeartbeat(cluster.EntryState{Member: cluster.Member{Name: "peer", Incarnation: 1}, Sequence: 1}, 0)
			reporter := platform.newReporter(&received)
			time.Sleep(time.Until(end) + 6500*time.Millisecond)
			for time.Since(end) < 9500*time.Millisecond {
				if time.Since(end) >= arrival {
					received = withPeer(window, time.Now())
				}
				assert.NoError(t, reporter.Act(t.Context(), held(2)))
				time.Sleep(250 * time.Millisecond)
			}
			assert.Equal(t, []map[string]int64{{"desk": want}}, platform.reports[window], arrival)
		})
	}
}

// Guards against a new leader that reports a window before it has received the counts of its peers,
// and against one that waits for them beyond the deadline of the report.
func TestNewLeaderWaitsForTheCountsOfItsPeers(t *testing.T) {
	cases := []struct {
		name string
		// delay is the time from the end of the window until the entry becomes leader.
		delay time.Duration
		want  int64
	}{
		{"in time", 4 * time.Second, 15},
		{"shortly before the deadline", 8500 * time.Millisecond, 10},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			platform := newPlatform()
			window := usage.WindowAt(time.Now(), windowLength)
			end := time.UnixMilli((window + 1) * windowLength.Milliseconds())
			received := withPeerCount("one", window, 0)
			reporter := platform.newReporter(&received)
			time.Sleep(time.Until(end) + c.delay)
			for step := range 12 {
				if step == 8 {
					received = withPeerCount("one", window, 5)
				}
				assert.NoError(t, reporter.Act(t.Context(), held(2)))
				time.Sleep(250 * time.Millisecond)
			}
			assert.Equal(t, []map[string]int64{{"desk": c.want}}, platform.reports[window], c.name)
		})
	}
}
