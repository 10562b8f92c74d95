package duties

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// ErrConflict means that a call carried a lower fencing number than one before it.
var ErrConflict = errors.New("duties: a higher fencing number was seen")

const (
	// usagePrefix is the prefix of the store's keys under which counts are fixed.
	usagePrefix = "usage/"
	// arrivalTime is the time after the end of a window in which the counts of all entries arrive.
	arrivalTime = 2500 * time.Millisecond
	// newLeaderWait is the time in which the others tell a new holder of the duty what they counted.
	newLeaderWait = 2500 * time.Millisecond
	// deadlineMargin is how long before a report is due it is made in any case.
	deadlineMargin = 1500 * time.Millisecond
	// retainedWindows is how many fixed windows stay in the store.
	retainedWindows = 8
)

// Store keeps the counts that were fixed.
type Store interface {
	Commit(ctx context.Context, change metadata.Change) (int64, error)
}

// UsageAPI takes the reports.
type UsageAPI interface {
	// ReportUsage returns [ErrConflict] when the fencing number is too low.
	ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) error
}

// UsageSource gives what the entries counted, and the wall clock.
type UsageSource interface {
	Cluster() cluster.State
	// Usage returns what this entry counted.
	Usage() usage.Counts
	WallTime() time.Time
}

// UsageReporter reports the usage of each window.
type UsageReporter struct {
	store      Store
	api        UsageAPI
	source UsageSource
	windowLength     time.Duration
	reportDeadline        time.Duration
	logger     zerolog.Logger
	// fence is the fencing number of the holding, which began at heldAt.
	fence  int64
	leaderSince time.Time
	// doneThrough is up to which window everything was reported or is too late.
	doneThrough int64
}

// NewUsageReporter returns a reporter for windows of a length that are due some time after their end.
func NewUsageReporter(store Store, api UsageAPI, neighbours UsageSource, length, due time.Duration, logger zerolog.Logger) *UsageReporter {
	return &UsageReporter{store: store, api: api, source: neighbours, windowLength: length, reportDeadline: due, logger: logger}
}

// Act reports the windows that can be reported now.
func (reporter *UsageReporter) Act(ctx context.Context, fence int64) error {
	if fence != reporter.fence {
		reporter.fence, reporter.leaderSince = fence, time.Now()
	}
	now := reporter.source.WallTime()
	last := usage.WindowAt(now.Add(-arrivalTime), reporter.windowLength) - 1
	first := max(reporter.doneThrough, usage.WindowAt(now.Add(-reporter.reportDeadline), reporter.windowLength)-1) + 1
	for window := first; window <= last; window++ {
		if time.Since(reporter.leaderSince) < newLeaderWait && now.Before(reporter.deadline(window).Add(-deadlineMargin)) {
			return nil
		}
		if err := reporter.report(ctx, fence, window); err != nil {
			return err
		}
		reporter.doneThrough = window
	}
	return nil
}

// deadline returns the latest time for the report of a window.
func (reporter *UsageReporter) deadline(window int64) time.Time {
	return time.UnixMilli((window + 1) * reporter.windowLength.Milliseconds()).Add(reporter.reportDeadline)
}

func (reporter *UsageReporter) report(ctx context.Context, fence, window int64) error {
	all := []usage.Counts{reporter.source.Usage()}
	for _, record := range reporter.source.Cluster().Usage() {
		all = append(all, record.Counts)
	}
	counts, err := reporter.reconcile(ctx, window, usage.Sum(window, all...))
	if err != nil || len(counts) == 0 {
		return err
	}
	err = reporter.api.ReportUsage(ctx, fence, window, counts)
	reporter.logger.Info().Err(err).Int64("Window", window).Int64("Fence", fence).Interface("Counts", counts).Msg("usage reported")
	return err
}

// reconcile returns the counts that the store holds for the window, which are these if there were none.
func (reporter *UsageReporter) reconcile(ctx context.Context, window int64, counts map[string]int64) (map[string]int64, error) {
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, err
	}
	key := usageKey(window)
	_, err = reporter.store.Commit(ctx, metadata.Change{
		Expects: []metadata.Condition{{Key: key}},
		Writes:  []metadata.Item{{Key: key, Value: value}},
		Removes: []string{usageKey(window - retainedWindows)},
	})
	var conflict *metadata.ConflictError
	if !errors.As(err, &conflict) {
		return counts, err
	}
	for _, item := range conflict.Items {
		if item.Key == key {
			var fixed map[string]int64
			return fixed, json.Unmarshal(item.Value, &fixed)
		}
	}
	return nil, err
}

func usageKey(window int64) string { return usagePrefix + strconv.FormatInt(window, 10) }
