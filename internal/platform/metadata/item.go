package metadata

import (
	"errors"
	"fmt"
)

// Item is a value under a key.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last change of the item, 0 for no item.
	Revision int64
	// Lease is the lease at whose end the item is removed, 0 for none.
	Lease int64
}

// Condition is the revision that an item must have, 0 for no item.
type Condition struct {
	Key      string
	Revision int64
}

// Change is made whole or not at all.
type Change struct {
	Expects []Condition
	Writes  []Item
	Removes []string
}

// ErrLeaseLost is returned for a lease that has ended.
var ErrLeaseLost = errors.New("metadata: lease lost")

// ConflictError is returned when a condition of a change does not hold.
type ConflictError struct {
	// Items are the items of the conditions as they are.
	Items []Item
}

// Error says which keys were in conflict.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("metadata: conflict on %d items", len(conflict.Items))
}

// RefusedError is returned when the store did nothing.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
}

// Error gives the status.
func (refused *RefusedError) Error() string {
	return fmt.Sprintf("metadata: refused with status %d", refused.Status)
}
