package duties

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// ErrConflict means that a call carried a lower fencing number than an earlier call.
var ErrConflict = errors.New("duties: call refused: an earlier call carried a higher fencing number")

const (
	// usagePrefix is the prefix of the store's keys under which the counts of windows are committed.
	usagePrefix = "usage/"
	// newLeaderWait is how long a new leader waits before its first report. Within this time it receives the
	// counts of entries that have ended.
	newLeaderWait = 2500 * time.Millisecond
	// deadlineMargin is how long before the deadline of a report the leader stops waiting for counts and sends it. The
	// API may be slow, and may have to be called again.
	deadlineMargin = 3500 * time.Millisecond
	// lastMargin is that time for a report that lacks all counts of more than tolerableMissing of the live entries. Such a
	// report is as good as none, and the counts of all entries reach a new leader within about two seconds.
	lastMargin       = time.Second
	tolerableMissing = 0.05
	// restoreMargin is how much later than this entry learned of a restore a window may end whose counts were committed before it.
	// It covers the time of a call that shows the restore, and the difference of the entries' clocks.
	restoreMargin = 3 * time.Second
	// startMargin replaces it if the restore was before this entry started. It covers the difference of the clocks. With a store whose
	// era is always above 0, a longer time would lose the counts of a window that ends just after the start.
	startMargin = 500 * time.Millisecond
	// retainedWindows is the number of windows whose counts remain in the store.
	retainedWindows = 8
)

// Store commits changes to the platform's store.
type Store interface {
	// Commit applies a change and returns its revision, or a [metadata.ConflictError] if a condition does not hold.
	Commit(ctx context.Context, change metadata.Change) (int64, error)
}

// ItemStore is a [Store] whose items can be read.
type ItemStore interface {
	Store
	// Get returns the item of a key, with revision 0 if there is none, and the store's revision.
	Get(ctx context.Context, key string) (metadata.Item, int64, error)
}

// UsageStore is the store of the counts of windows. It may be restored from a backup and lose counts that were reported.
type UsageStore interface {
	ItemStore
	// Status says when the store was last restored.
	Status() metadata.StoreStatus
}

// UsageAPI accepts usage reports.
type UsageAPI interface {
	// ReportUsage reports the counts of a window by client account. It returns [ErrConflict] if the fencing
	// number is too low.
	ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) error
}

// UsageSource provides the counts of all entries and the wall clock.
type UsageSource interface {
	// UsageMissing returns the fraction of the other live entries whose counts up to a wall-clock time have not arrived.
	UsageMissing(until time.Time) float64
	// Cluster returns the state of this entry and its peers, with the counts that the peers reported.
	Cluster() cluster.State
	// Usage returns the counts of this entry.
	Usage() usage.Counts
	// WallTime returns the wall-clock time, which determines the current window.
	WallTime() time.Time
	// Reported returns the windows that this entry or another one has reported, as far as they told it.
	Reported() usage.Reported
	// AddReported tells the other entries that this one reports the counts of a window.
	AddReported(window int64, counts map[string]int64)
}

// UsageReporter reports the usage of each window.
type UsageReporter struct {
	store          UsageStore
	api            UsageAPI
	source         UsageSource
	windowLength   time.Duration
	reportDeadline time.Duration
	logger         zerolog.Logger
	// fence is the fencing number of the current leadership, and leaderSince the time of its first call of Act.
	fence       int64
	leaderSince time.Time
	// doneThrough is the last window that was reported; each earlier one was reported or is past its deadline.
	doneThrough int64
	// committed are the counts that the store had, by window: this entry repeats them also if the store loses them.
	committed map[int64]map[string]int64
}

// NewUsageReporter returns a reporter for windows of windowLength, each of which must be reported within
// reportDeadline after its end.
func NewUsageReporter(store UsageStore, api UsageAPI, source UsageSource, windowLength, reportDeadline time.Duration, logger zerolog.Logger) *UsageReporter {
	return &UsageReporter{
		store: store, api: api, source: source, windowLength: windowLength, reportDeadline: reportDeadline, logger: logger,
		committed: map[int64]map[string]int64{},
	}
}

// Act reports the windows that can be reported now. It returns the first error without reporting later windows.
func (reporter *UsageReporter) Act(ctx context.Context, leadership Leadership) error {
	fence := leadership.FencingNumber()
	if fence != reporter.fence {
		reporter.fence, reporter.leaderSince = fence, time.Now()
	}
	now := reporter.source.WallTime()
	lastWindow := usage.WindowAt(now, reporter.windowLength) - 1
	firstWindow := max(reporter.doneThrough, usage.WindowAt(now.Add(-reporter.reportDeadline), reporter.windowLength)-1) + 1
	for window := firstWindow; window <= lastWindow; window++ {
		if reporter.mustWait(window, now) {
			return nil
		}
		if err := reporter.report(ctx, leadership, window); err != nil {
			return err
		}
		reporter.doneThrough = window
	}
	return nil
}

// mustWait reports whether counts of a window may still arrive, and there is time to wait for them.
func (reporter *UsageReporter) mustWait(window int64, now time.Time) bool {
	deadline := reporter.deadline(window)
	end := deadline.Add(-reporter.reportDeadline)
	switch {
	case now.Before(deadline.Add(-deadlineMargin)):
		return time.Since(reporter.leaderSince) < newLeaderWait || reporter.source.UsageMissing(end) > 0
	case now.Before(deadline.Add(-lastMargin)):
		return reporter.source.UsageMissing(end.Add(-reporter.windowLength)) > tolerableMissing
	}
	return false
}

// deadline returns the time by which a window must be reported.
func (reporter *UsageReporter) deadline(window int64) time.Time {
	return time.UnixMilli((window + 1) * reporter.windowLength.Milliseconds()).Add(reporter.reportDeadline)
}

// report commits the counts of a window and reports them, unless there are none, or another entry may have reported counts that
// were lost.
func (reporter *UsageReporter) report(ctx context.Context, leadership Leadership, window int64) error {
	if !leadership.Held() {
		return duty.ErrLeaseLost
	}
	counts, err := reporter.countsOf(ctx, window)
	if err != nil || len(counts) == 0 {
		return err
	}
	if !leadership.Held() {
		return duty.ErrLeaseLost
	}
	reporter.source.AddReported(window, counts)
	fence := leadership.FencingNumber()
	err = reporter.api.ReportUsage(ctx, fence, window, counts)
	reporter.logger.Info().Err(err).Int64("Window", window).Int64("Fence", fence).Interface("Counts", counts).Msg("usage report attempted")
	return err
}

// countsOf returns the counts of a window, which the store has or had, or nil for a window that must not be reported.
func (reporter *UsageReporter) countsOf(ctx context.Context, window int64) (map[string]int64, error) {
	if counts, ok := reporter.committed[window]; ok {
		return counts, nil
	}
	allCounts := []usage.Counts{reporter.source.Usage()}
	for _, peerUsage := range reporter.source.Cluster().Usage() {
		allCounts = append(allCounts, peerUsage.Counts)
	}
	counts := usage.Sum(window, allCounts...)
	if reporter.mayBeLost(window) && !reporter.source.Reported().HasCounts(window, counts) {
		stored, err := reporter.stored(ctx, window)
		if stored == nil && err == nil {
			reporter.logger.Warn().Int64("Window", window).
				Msg("the store was restored from a backup and may have lost the counts of a usage report that another entry sent; not reporting the window")
		}
		return stored, err
	}
	counts, err := reporter.reconcile(ctx, window, counts)
	if err != nil {
		return nil, err
	}
	maps.DeleteFunc(reporter.committed, func(earlier int64, _ map[string]int64) bool { return earlier <= window-retainedWindows })
	reporter.committed[window] = counts
	return counts, nil
}

// mayBeLost reports whether another entry may have reported a window with counts that the store has lost since: it did so before
// the store was restored, or says so.
func (reporter *UsageReporter) mayBeLost(window int64) bool {
	status, margin := reporter.store.Status(), restoreMargin
	if status.RestoreSeenAt.IsZero() {
		return false
	}
	if status.RestoredBeforeStart {
		margin = startMargin
	}
	end := reporter.deadline(window).Add(-reporter.reportDeadline)
	seenWallTime := reporter.source.WallTime().Add(-time.Since(status.RestoreSeenAt))
	return end.Before(seenWallTime.Add(margin)) || reporter.source.Reported().Has(window)
}

// stored returns the counts that the store has for a window, nil for none.
func (reporter *UsageReporter) stored(ctx context.Context, window int64) (map[string]int64, error) {
	item, _, err := reporter.store.Get(ctx, usageKey(window))
	if err != nil || item.Revision == 0 {
		return nil, err
	}
	var counts map[string]int64
	return counts, json.Unmarshal(item.Value, &counts)
}

// reconcile returns the counts that the store has for a window. If it has none, reconcile commits the given
// counts and returns them.
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
			var stored map[string]int64
			return stored, json.Unmarshal(item.Value, &stored)
		}
	}
	return nil, err
}

func usageKey(window int64) string { return usagePrefix + strconv.FormatInt(window, 10) }
