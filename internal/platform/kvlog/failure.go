package kvlog

import (
	"errors"
	"fmt"
)

// ErrNumberTruncated reports that the log was truncated up to the number of an appended entry or beyond; the
// entry is not part of the log.
var ErrNumberTruncated = errors.New("kvlog: append is void: the log was truncated up to the number of the entry or beyond")

// ConflictError reports that an append was rejected because another entry has the number.
type ConflictError struct {
	// Winner is the entry that has the number.
	Winner Entry
}

// Error returns a message with the number and the write ID of the entry that has it.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("kvlog: append of entry %d rejected: write %s already created it", conflict.Winner.Number, conflict.Winner.WriteID)
}

// UncertainError reports that the outcome of an append is unknown; it may still take effect.
type UncertainError struct {
	Number int64
	Cause  error
}

// Error returns a message with the number of the entry and the cause.
func (uncertain *UncertainError) Error() string {
	return fmt.Sprintf("kvlog: outcome of the append of entry %d is unknown: %v", uncertain.Number, uncertain.Cause)
}

// Unwrap returns the cause.
func (uncertain *UncertainError) Unwrap() error { return uncertain.Cause }

// TruncatedError reports a read of entries that were truncated.
type TruncatedError struct {
	// Floor is the number of the last truncated entry; entries after it can be read.
	Floor int64
}

// Error returns a message with the floor.
func (truncated *TruncatedError) Error() string {
	return fmt.Sprintf("kvlog: entries up to number %d were truncated", truncated.Floor)
}
