package directory

import "time"

// Snapshot is the result of a read of the store.
type Snapshot[T any] struct {
	// Revision is the store's revision at the time of the read ([Qualified]), 0 for no snapshot.
	Revision int64
	// Version is the number that the value's writer gave it, 0 for a value without one. A value never replaces one of a higher version.
	Version int64
	// CurrentAt is a time of the boot clock at which the value was current in the store.
	CurrentAt time.Duration
	Value     T
}

// Merge returns the snapshot with the value of the higher version, or of two of the same version that of the higher revision,
// with the higher revision and the later CurrentAt of the two.
//
// A snapshot with a lower revision was read earlier, whatever its CurrentAt is,
// because CurrentAt is a lower bound. The later of the two times therefore is valid
// for the higher revision.
//
// A store that was restored from a backup has a value of a lower version at a later revision. A read of it shows that the store
// has nothing newer than the value of the higher version, so that value counts as current at the later revision and time.
func (snapshot Snapshot[T]) Merge(other Snapshot[T]) Snapshot[T] {
	if other.Revision == 0 {
		return snapshot
	}
	if snapshot.Revision == 0 {
		return other
	}
	revision, currentAt := max(snapshot.Revision, other.Revision), max(snapshot.CurrentAt, other.CurrentAt)
	if other.Version > snapshot.Version || other.Version == snapshot.Version && other.Revision > snapshot.Revision {
		snapshot = other
	}
	snapshot.Revision, snapshot.CurrentAt = revision, currentAt
	return snapshot
}

// Age returns the time since CurrentAt, at least 0.
func (snapshot Snapshot[T]) Age(now time.Duration) time.Duration {
	return max(0, now-snapshot.CurrentAt)
}
