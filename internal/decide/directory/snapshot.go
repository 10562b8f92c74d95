package directory

import "time"

// Snapshot is the result of a read of the store.
type Snapshot[T any] struct {
	// Revision is the store's revision at the time of the read, 0 for no snapshot.
	Revision int64
	// CurrentAt is a time of the boot clock at which the value was current in the store.
	CurrentAt time.Duration
	Value     T
}

// Merge returns the snapshot with the higher revision, with the later CurrentAt of the two.
//
// A snapshot with a lower revision was read earlier, whatever its CurrentAt is,
// because CurrentAt is a lower bound. The later of the two times therefore is valid
// for the higher revision.
func (snapshot Snapshot[T]) Merge(other Snapshot[T]) Snapshot[T] {
	if other.Revision == 0 {
		return snapshot
	}
	if snapshot.Revision == 0 {
		return other
	}
	currentAt := max(snapshot.CurrentAt, other.CurrentAt)
	if other.Revision > snapshot.Revision {
		snapshot = other
	}
	snapshot.CurrentAt = currentAt
	return snapshot
}

// Age returns the time since CurrentAt, at least 0.
func (snapshot Snapshot[T]) Age(now time.Duration) time.Duration {
	return max(0, now-snapshot.CurrentAt)
}
