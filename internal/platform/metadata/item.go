package metadata

import (
	"errors"
	"fmt"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the item, 0 if the key has no item. A store that can be restored
	// from a backup has revisions that rise across restores.
	Revision int64
	// Lease is the ID of the lease at whose end the store removes the item, 0 for none.
	Lease int64
}

// Condition requires that the item of a key have a revision, 0 for no item.
type Condition struct {
	Key      string
	Revision int64
}

// Change is a set of writes and removals that the store applies together if all expected conditions
// hold, and otherwise not at all.
type Change struct {
	Expects []Condition
	Writes  []Item
	Removes []string
}

// Event is one change of a key: a write of its item, or its removal.
type Event struct {
	// Item is the item as it was written; of a removal it has only Key and Revision.
	Item
	Removed bool
}

// StoreStatus is what a client of a store knows of its restores from a backup.
type StoreStatus struct {
	// Era is the number of restores that the store reported.
	Era int64
	// RestoreSeenAt is when the client learned of the last restore, the zero time if there was none.
	RestoreSeenAt time.Time
	// RestoredBeforeStart reports that the first answers already were of this era, so the last restore was before the client's first call.
	RestoredBeforeStart bool
	// MalformedEras counts answers whose era could not be read, and OutdatedAnswers those of an earlier era.
	MalformedEras, OutdatedAnswers int64
}

// ErrCompacted reports that the store no longer has the changes after a revision.
var ErrCompacted = errors.New("metadata: the changes after that revision were discarded")

// ErrLeaseLost reports that a lease has ended.
var ErrLeaseLost = errors.New("metadata: lease lost")

// ConflictError reports that a condition of a change does not hold.
type ConflictError struct {
	// Items are the current items of the keys in the conditions.
	Items []Item
}

// Error returns a message with the number of items.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("metadata: change rejected: a condition does not hold (%d current items)", len(conflict.Items))
}

// RefusedError reports that the store rejected a request and changed nothing.
type RefusedError struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error returns a message with the status.
func (refused *RefusedError) Error() string {
	return fmt.Sprintf("metadata: store rejected the request with HTTP status %d", refused.Status)
}
