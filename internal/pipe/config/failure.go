package config

import (
	"errors"
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// ConflictError reports that a change was refused because the set on which it is based is not the latest.
type ConflictError struct {
	// Revision is the revision that the refused change would have created.
	Revision int64
	// Winner is the change that created the revision, or nil if the log no longer contains it.
	Winner *config.Change
}

// Error returns a message with the identifier and the author of the committed change.
func (conflict *ConflictError) Error() string {
	if conflict.Winner == nil {
		return fmt.Sprintf("revision %d was taken by an older change, which the log no longer holds", conflict.Revision)
	}
	return fmt.Sprintf("revision %d was taken by change %s of %s", conflict.Revision, conflict.Winner.ID, conflict.Winner.Author)
}

// RejectedError reports that validation found errors in a change.
type RejectedError struct {
	Findings []config.Finding
}

// Error returns the first finding that is an error, and the number of all findings.
func (rejected *RejectedError) Error() string {
	for _, finding := range rejected.Findings {
		if finding.Severity == config.SeverityError {
			return fmt.Sprintf("%s (%d findings)", finding, len(rejected.Findings))
		}
	}
	return "change rejected by validation"
}

// UncertainError reports an append to the log that failed in a way that leaves open whether the
// change was committed.
//
// A retry with the same identifier returns the outcome.
type UncertainError struct {
	Revision int64
	Cause    error
}

// Error returns a message with the revision that the change may have created.
func (uncertain *UncertainError) Error() string {
	return fmt.Sprintf("not known whether the change became revision %d, repeat it unchanged: %v", uncertain.Revision, uncertain.Cause)
}

// Unwrap returns the error of the append to the log.
func (uncertain *UncertainError) Unwrap() error { return uncertain.Cause }

// ErrTooLarge is returned for a change of more than [MaxChangeBytes].
var ErrTooLarge = errors.New("change is larger than 900000 bytes as JSON; split it into several changes")

// ErrLeaseLost is returned when a checkpoint, or the removal of older data after it,
// is abandoned because its lease has expired and another entry may have acquired it.
var ErrLeaseLost = errors.New("checkpoint: lease expired; remaining writes skipped")
