package duties_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

const length = 5 * time.Second

// platform is the store and the API; faults are used up one a call.
type platform struct {
	items    map[string][]byte
	faults   []fault
	reports  map[int64][]map[string]int64
	refusing error
}

// fault is what happens to one change.
type fault string

const (
	// lost changes are made and not answered, refused ones are not made.
	lost    fault = "lost"
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
	return platform.refusing
}

// entries are the records that a holder knows.
type entries struct {
	state cluster.State
	own   usage.Counts
}

func (entries entries) Cluster() cluster.State { return entries.state }
func (entries entries) Usage() usage.Counts    { return entries.own }
func (entries entries) WallTime() time.Time    { return time.Now() }

// knowing returns what a holder knows when one other entry counted that many requests in a window.
func knowing(name string, window, other int64) entries {
	counts := func(count int64) usage.Counts {
		return usage.Counts{}.WithWindow(window, map[string]int64{"desk": count})
	}
	self := cluster.EntryState{Member: cluster.Member{Name: name}}
	return entries{cluster.New(self).WithUsage([]cluster.Usage{{ID: "peer#1", Counts: counts(other)}}, 0), counts(10)}
}

// Guards against two reports of one window with different counts, when answers are lost, the
// store is away, the API fails, and another entry takes the duty over with other counts.
func TestReportsOfAWindowAreExactRepeats(t *testing.T) {
	cases := map[string][]fault{
		"no fault": nil, "a lost answer": {lost}, "the store is away": {refused, refused}, "away, then a lost answer": {refused, lost},
	}
	for name, faults := range cases {
		for _, refusing := range []error{nil, errors.New("no answer")} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					platform := &platform{items: map[string][]byte{}, reports: map[int64][]map[string]int64{}, faults: faults, refusing: refusing}
					window := usage.WindowAt(time.Now(), length)
					time.Sleep(length + 3*time.Second)
					first := duties.NewUsageReporter(platform, platform, knowing("one", window, 5), length, 10*time.Second, zerolog.Nop())
					second := duties.NewUsageReporter(platform, platform, knowing("two", window, 7), length, 10*time.Second, zerolog.Nop())
					_ = first.Act(t.Context(), 1)
					time.Sleep(3 * time.Second)
					for range 4 {
						_ = first.Act(t.Context(), 1)
						time.Sleep(250 * time.Millisecond)
					}
					_ = second.Act(t.Context(), 2)
					time.Sleep(3 * time.Second)
					_ = second.Act(t.Context(), 2)
					assert.NotEmpty(t, platform.reports[window])
					for _, counts := range platform.reports[window] {
						assert.Equal(t, map[string]int64{"desk": 15}, counts)
					}
				})
			})
		}
	}
}

// Guards against a window that is reported before the counts of all entries are there, or never.
func TestWindowIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &platform{items: map[string][]byte{}, reports: map[int64][]map[string]int64{}}
		window := usage.WindowAt(time.Now(), length)
		end := time.UnixMilli((window + 1) * length.Milliseconds())
		reporter := duties.NewUsageReporter(platform, platform, knowing("one", window, 5), length, 10*time.Second, zerolog.Nop())
		assert.NoError(t, reporter.Act(t.Context(), 1))
		time.Sleep(time.Until(end) + time.Second)
		assert.NoError(t, reporter.Act(t.Context(), 1))
		assert.Empty(t, platform.reports[window], "a second after the end")
		time.Sleep(2 * time.Second)
		assert.NoError(t, reporter.Act(t.Context(), 1))
		assert.NoError(t, reporter.Act(t.Context(), 1))
		assert.Len(t, platform.reports[window], 1, "three seconds after the end")
	})
}

// Guards against a new holder of the duty that reports what it knows before the others have told it what they counted,
// and against one that waits for them beyond the time at which a report is due.
func TestNewHolderWaitsForTheCountsOfTheOthers(t *testing.T) {
	cases := []struct {
		name string
		// late is how long after the end of the window the duty is taken.
		late time.Duration
		want int64
	}{
		{"in time", 4 * time.Second, 15},
		{"almost too late", 8500 * time.Millisecond, 10},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			platform := &platform{items: map[string][]byte{}, reports: map[int64][]map[string]int64{}}
			window := usage.WindowAt(time.Now(), length)
			end := time.UnixMilli((window + 1) * length.Milliseconds())
			alone := knowing("one", window, 0)
			reporter := duties.NewUsageReporter(platform, platform, &alone, length, 10*time.Second, zerolog.Nop())
			time.Sleep(time.Until(end) + c.late)
			for step := range 12 {
				if step == 8 {
					alone = knowing("one", window, 5)
				}
				assert.NoError(t, reporter.Act(t.Context(), 2))
				time.Sleep(250 * time.Millisecond)
			}
			assert.Equal(t, []map[string]int64{{"desk": c.want}}, platform.reports[window], c.name)
		})
	}
}
