package share

import "time"

// readSchedule decides when an entry reads a part of the store. It is immutable; the zero value is that of an entry
// whose last read succeeded.
type readSchedule struct {
	// pause is the time between reads while they fail, 0 if the last one succeeded. retryAt is when the next is due.
	pause   time.Duration
	retryAt time.Duration
	// failedAt is when the last failed read began.
	failedAt time.Duration
}

// failing reports whether the last read failed.
func (schedule readSchedule) failing() bool { return schedule.pause > 0 }

// sinceFailure returns the time since the last failed read. A younger copy came from another entry.
func (schedule readSchedule) sinceFailure(now time.Duration) time.Duration {
	return now - schedule.failedAt
}

// due reports whether the entry reads now. Remaining is the time until its copy is so old that it should.
//
// While reads fail, they are repeated even if other entries provide recent copies.
func (schedule readSchedule) due(remaining, now time.Duration) bool {
	if schedule.failing() {
		return now >= schedule.retryAt
	}
	return remaining <= 0
}

// peerCopyTime is the time in which a copy that another entry has read reaches this one, through two aggregators.
const peerCopyTime = 2500 * time.Millisecond

// postponed returns the schedule with the next read due so late that another entry may provide a copy before.
func (schedule readSchedule) postponed(now time.Duration) readSchedule {
	schedule.retryAt = now + peerCopyTime
	return schedule
}

// withRead returns the schedule after a read at now. IsProber reports whether the entry is one of the few that retry
// every failurePause: in an outage of the store they notice its end within a second, and the others receive copies from
// them. The others first pause for firstPause, and their pause doubles with each failure, since the store counts refused
// calls too.
func (schedule readSchedule) withRead(err error, isProber bool, firstPause, now time.Duration) readSchedule {
	switch {
	case err == nil:
		return readSchedule{}
	case isProber:
		schedule.pause = failurePause
	case schedule.failing():
		schedule.pause = min(2*schedule.pause, maxFailurePause)
	default:
		schedule.pause = firstPause
	}
	schedule.retryAt, schedule.failedAt = now+schedule.pause, now
	return schedule
}
