package kvlog

import (
	"errors"
	"fmt"
)

// ErrVoid is returned for an entry whose number the log was truncated past; it does not count.
var ErrVoid = errors.New("kvlog: entry is void, its number is at or below the floor")

// ConflictError is an append refused because another entry has the number.
type ConflictError struct {
	Winner Entry
}

// Error names the number and the write that won it.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("kvlog: number %d was taken by write %s", conflict.Winner.Number, conflict.Winner.WriteID)
}

// UncertainError is an append whose outcome is not known; it may still take effect.
type UncertainError struct {
	Number int64
	Cause  error
}

// Error names the number.
func (unsure *UncertainError) Error() string {
	return fmt.Sprintf("kvlog: not known whether number %d was written: %v", unsure.Number, unsure.Cause)
}

// Unwrap returns the cause.
func (unsure *UncertainError) Unwrap() error { return unsure.Cause }

// TruncatedError is a read of entries that were truncated.
type TruncatedError struct {
	// Floor is the number of the last truncated entry; reading goes on after it.
	Floor int64
}

// Error gives the floor.
func (truncated *TruncatedError) Error() string {
	return fmt.Sprintf("kvlog: entries up to %d are truncated", truncated.Floor)
}
