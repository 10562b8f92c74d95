package directory

import "time"

// Snapshot is what a read of the store yielded.
type Snapshot[T any] struct {
	// Revision is the store's revision at the time of the read, 0 for no reading.
	Revision int64
	// CurrentAt is a time of the boot clock at which the value was the newest.
	CurrentAt time.Duration
	Value     T
}

// Merge returns the newer of two readings, with the later time at which it is known to be the newest.
//
// A reading of a lower revision was made earlier, whatever its time says, because
// times are lower bounds. The later of both times therefore holds for the higher
// revision.
func (snapshot Snapshot[T]) Merge(other Snapshot[T]) Snapshot[T] {
	if other.Revision == 0 {
		return snapshot
	}
	if snapshot.Revision == 0 {
		return other
	}
	newest := max(snapshot.CurrentAt, other.CurrentAt)
	if other.Revision > snapshot.Revision {
		snapshot = other
	}
	snapshot.CurrentAt = newest
	return snapshot
}

// Age returns the time since the value was known to be the newest.
func (snapshot Snapshot[T]) Age(now time.Duration) time.Duration {
	return max(0, now-snapshot.CurrentAt)
}
