package directory

import "time"

// Reading is what a read of the store yielded.
type Reading[T any] struct {
	// Revision is the store's revision at the time of the read, 0 for no reading.
	Revision int64
	// NewestAt is a time of the boot clock at which the value was the newest.
	NewestAt time.Duration
	Value    T
}

// Merge returns the newer of two readings, with the later time at which it is known to be the newest.
//
// A reading of a lower revision was made earlier, whatever its time says, because
// times are lower bounds. The later of both times therefore holds for the higher
// revision.
func (reading Reading[T]) Merge(other Reading[T]) Reading[T] {
	if other.Revision == 0 {
		return reading
	}
	if reading.Revision == 0 {
		return other
	}
	newest := max(reading.NewestAt, other.NewestAt)
	if other.Revision > reading.Revision {
		reading = other
	}
	reading.NewestAt = newest
	return reading
}

// Age returns the time since the value was known to be the newest.
func (reading Reading[T]) Age(now time.Duration) time.Duration {
	return max(0, now-reading.NewestAt)
}
