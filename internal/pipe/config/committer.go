package config

import (
	"bytes"
	"context"
	"errors"

	"github.com/google/uuid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/document"
)

// MaxChangeBytes bounds the JSON encoding of a change, in bytes. The key-value service
// accepts values of up to 1 MB, and a document must also fit into a part of a checkpoint.
const MaxChangeBytes = 900_000

// Log appends to and reads the numbered log.
type Log interface {
	// Append commits an entry under its number. It returns a [*kvlog.ConflictError]
	// or [kvlog.ErrNumberTruncated] if the number is not available, a [*kvlog.UncertainError] if
	// the write may still take effect, or another error if nothing was written.
	Append(ctx context.Context, entry kvlog.Entry) error
	// Read returns the entries from number on, or a [*kvlog.TruncatedError].
	Read(ctx context.Context, number int64) (kvlog.Tail, error)
}

// SetSource provides the configuration set in force at this entry.
type SetSource interface {
	// Set returns the latest set that this entry has applied.
	Set() config.Set
}

// UsageSource provides the current usage of the client accounts, which validation compares with their limits.
type UsageSource interface {
	// Usage returns the current usage.
	Usage() config.Usage
}

// Receipt is the answer to an accepted change.
type Receipt struct {
	// Revision is the revision that the change created.
	Revision int64
	// Repeat reports that the change had been accepted before, and this request is a retry.
	Repeat bool `json:",omitempty"`
	// Findings contains only warnings of the validation, since a change with errors is rejected.
	Findings []config.Finding `json:",omitempty"`
	// Differences lists the documents that the change created, changed or deleted.
	Differences []config.Difference `json:",omitempty"`
}

// Committer validates and commits changes; it is safe for concurrent use.
type Committer struct {
	log       Log
	sets      SetSource
	usage     UsageSource
	history   *History
	validator config.Validator
}

// NewCommitter returns a committer that appends to log and records committed changes in history.
func NewCommitter(log Log, sets SetSource, usage UsageSource, history *History) *Committer {
	return &Committer{log: log, sets: sets, usage: usage, history: history, validator: config.NewValidator(document.AddressChecker{})}
}

// Commit decodes, validates and appends the change in body, with author as its author.
//
// Its errors are a [*document.Error], a [*RejectedError], a [*ConflictError], a
// [*config.RevisionError] for a base that does not exist yet, [ErrTooLarge], and an
// [*UncertainError]. Any other error means that the change was not committed.
func (committer *Committer) Commit(ctx context.Context, author string, body []byte) (Receipt, error) {
	change, err := document.Decode(body)
	if err != nil {
		return Receipt{}, err
	}
	change = change.WithAuthor(author)
	payload, err := document.Encode(change)
	if err != nil {
		return Receipt{}, err
	}
	if len(payload) > MaxChangeBytes {
		return Receipt{}, ErrTooLarge
	}
	base, winner, err := committer.baseSet(ctx, change.Base())
	if err != nil {
		return Receipt{}, err
	}
	if winner != nil {
		return resolveConflict(payload, winner)
	}
	return committer.append(ctx, base, change, payload)
}

// append validates the change against base and commits it.
func (committer *Committer) append(ctx context.Context, base config.Set, change config.Change, payload []byte) (Receipt, error) {
	findings := committer.validator.Validate(base, change, committer.usage.Usage())
	if config.HasErrors(findings) {
		return Receipt{}, &RejectedError{findings}
	}
	err := committer.log.Append(ctx, kvlog.Entry{Number: change.Revision, WriteID: uuid.NewString(), Payload: payload})
	var conflict *kvlog.ConflictError
	var uncertain *kvlog.UncertainError
	switch {
	case errors.As(err, &conflict):
		return resolveEntryConflict(payload, conflict.Winner)
	case errors.As(err, &uncertain):
		return Receipt{}, &UncertainError{Revision: change.Revision, Cause: err}
	case errors.Is(err, kvlog.ErrNumberTruncated):
		return Receipt{}, &ConflictError{Revision: change.Revision}
	case err != nil:
		return Receipt{}, err
	}
	committer.history.Record(base, change)
	differences := config.Diff(base, base.WithChange(change))
	return Receipt{Revision: change.Revision, Findings: findings, Differences: differences}, nil
}

// baseSet returns the set of a revision if that is the latest one, or else the accepted change that
// followed the revision.
func (committer *Committer) baseSet(ctx context.Context, revision int64) (config.Set, *config.Change, error) {
	set := committer.sets.Set()
	if revision < set.Revision() {
		winner, err := committer.acceptedChange(ctx, revision+1)
		return set, winner, err
	}
	if revision == set.Revision() {
		return set, nil, nil
	}
	return committer.catchUp(ctx, set, revision)
}

// acceptedChange returns an accepted change, from memory or else from the log.
func (committer *Committer) acceptedChange(ctx context.Context, revision int64) (*config.Change, error) {
	if change, ok := committer.history.Change(revision); ok {
		return &change, nil
	}
	tail, err := committer.log.Read(ctx, revision)
	var truncated *kvlog.TruncatedError
	if errors.As(err, &truncated) || err == nil && len(tail.Entries) == 0 {
		return nil, &ConflictError{Revision: revision}
	}
	if err != nil {
		return nil, err
	}
	change, err := decode(tail.Entries[0])
	return &change, err
}

// catchUp applies the log entries after set up to a revision, for an entry that has not applied them yet.
//
// If the log has a change after the revision, it returns that change.
func (committer *Committer) catchUp(ctx context.Context, set config.Set, revision int64) (config.Set, *config.Change, error) {
	tail, err := committer.log.Read(ctx, set.Revision()+1)
	if err != nil {
		return set, nil, err
	}
	for _, entry := range tail.Entries {
		change, err := decode(entry)
		if err != nil {
			return set, nil, err
		}
		if set.Revision() == revision {
			return set, &change, nil
		}
		before := set
		if set, err = set.WithNext(change); err != nil {
			return set, nil, err
		}
		committer.history.Record(before, change)
	}
	if set.Revision() != revision {
		return set, nil, &config.RevisionError{Have: set.Revision(), Change: revision + 1}
	}
	return set, nil, nil
}

// resolveEntryConflict compares a change with the log entry that already has its number.
func resolveEntryConflict(payload []byte, winner kvlog.Entry) (Receipt, error) {
	change, err := decode(winner)
	if err != nil {
		return Receipt{}, err
	}
	return resolveConflict(payload, &change)
}

// resolveConflict distinguishes a retry of winner, the committed change, from another change.
//
// A retry has the same encoding, including identifier and author, and yields a
// receipt. Another change yields a [*ConflictError].
func resolveConflict(payload []byte, winner *config.Change) (Receipt, error) {
	stored, err := document.Encode(*winner)
	if err != nil {
		return Receipt{}, err
	}
	if !bytes.Equal(payload, stored) {
		return Receipt{}, &ConflictError{Revision: winner.Revision, Winner: winner}
	}
	return Receipt{Revision: winner.Revision, Repeat: true}, nil
}

// decode returns the change of a log entry, and checks that the entry's number is its revision.
func decode(entry kvlog.Entry) (config.Change, error) {
	change, err := document.Decode(entry.Payload)
	if err == nil && change.Revision != entry.Number {
		err = &config.RevisionError{Have: entry.Number - 1, Change: change.Revision}
	}
	return change, err
}
