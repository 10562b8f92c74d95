package share

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

// WallClock provides the wall-clock time, by which usage windows are numbered.
type WallClock interface {
	// WallTime returns the time, corrected by the clocks of peers.
	WallTime() time.Time
}

// UsageRecorder records the reports of usage that were dropped.
type UsageRecorder interface {
	// RecordDroppedUsage records a report that cannot be true because of a defect.
	RecordDroppedUsage(defect usage.Defect)
}

// UsageFilter is an [Answerer] that passes messages on to another one without the reports of usage that cannot be true.
//
// Such a report is dropped alone: a message is not malformed because its sender's clock, or that of an entry whose report it
// forwards, is wrong.
type UsageFilter struct {
	next         Answerer
	clock        WallClock
	windowLength time.Duration
	recorder     UsageRecorder
}

// NewUsageFilter returns a filter before next for usage windows of a length. It drops all usage for a length below 1 ms, of which
// windows have no number ([usage.WindowAt]); 0 is that of an entry that counts no usage.
func NewUsageFilter(next Answerer, clock WallClock, windowLength time.Duration, recorder UsageRecorder) *UsageFilter {
	return &UsageFilter{next: next, clock: clock, windowLength: windowLength, recorder: recorder}
}

// Answer answers a message as the next answerer does.
func (usageFilter *UsageFilter) Answer(message share.StateMessage) share.Reply {
	if usageFilter.windowLength < time.Millisecond {
		message.Usage = nil
	}
	message.Usage = usageFilter.sound(message.Usage)
	return usageFilter.next.Answer(message)
}

// sound returns the reports that may be true, each complete no later than now.
func (usageFilter *UsageFilter) sound(reports []cluster.Usage) []cluster.Usage {
	bounds := usage.Bounds{Now: usageFilter.clock.WallTime(), WindowLength: usageFilter.windowLength}
	var sound []cluster.Usage
	for _, report := range reports {
		if defect := bounds.Check(report.Counts, report.AsOf); defect != usage.DefectNone {
			usageFilter.recorder.RecordDroppedUsage(defect)
			continue
		}
		report.AsOf = bounds.CompleteUntil(report.AsOf)
		sound = append(sound, report)
	}
	return sound
}
