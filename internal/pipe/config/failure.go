package config

import (
	"errors"
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// ConflictError is a change refused because the set it was made from is no longer the newest.
type ConflictError struct {
	// Revision is the one that the refused change would have had.
	Revision int64
	// Winner is the change that took it, or nil if the log no longer holds it.
	Winner *config.Change
}

// Error names the operator whose change came first.
func (conflict *ConflictError) Error() string {
	if conflict.Winner == nil {
		return fmt.Sprintf("revision %d was taken by an older change, which the log no longer holds", conflict.Revision)
	}
	return fmt.Sprintf("revision %d was taken by change %s of %s", conflict.Revision, conflict.Winner.ID, conflict.Winner.Author)
}

// RejectedError is a change refused by validation.
type RejectedError struct {
	Findings []config.Finding
}

// Error gives the first error and the number of findings.
func (rejected *RejectedError) Error() string {
	for _, finding := range rejected.Findings {
		if finding.Severity == config.SeverityError {
			return fmt.Sprintf("%s (%d findings)", finding, len(rejected.Findings))
		}
	}
	return "rejected"
}

// UncertainError is a change of which it is not known whether it was committed; repeating it with the same identifier tells.
type UncertainError struct {
	Revision int64
	Cause    error
}

// Error names the revision that the change may have.
func (unsure *UncertainError) Error() string {
	return fmt.Sprintf("not known whether the change became revision %d, repeat it unchanged: %v", unsure.Revision, unsure.Cause)
}

// Unwrap returns the cause.
func (unsure *UncertainError) Unwrap() error { return unsure.Cause }

// ErrTooLarge is returned for a change of more than [MaxChangeBytes].
var ErrTooLarge = errors.New("the change is too large, split it")

// ErrLeaseLost is returned by a checkpoint that stopped because another entry may hold the lease by now.
var ErrLeaseLost = errors.New("checkpoint: lease lost")
