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

// MaxChangeBytes bounds the JSON form of a change. The key-value service takes
// values of 1 MB, and a document must also fit a part of a checkpoint.
const MaxChangeBytes = 900_000

// Log is the part of the numbered log that commits need.
type Log interface {
	Append(ctx context.Context, entry kvlog.Entry) error
	// Read returns the entries from number on, or a [*kvlog.TruncatedError].
	Read(ctx context.Context, number int64) (kvlog.Tail, error)
}

// SetSource gives the newest set that this entry has in force.
type SetSource interface {
	Set() config.Set
}

// UsageSource gives what client accounts use now.
type UsageSource interface {
	Use() config.Usage
}

// Receipt is the answer to an accepted change.
type Receipt struct {
	Revision int64
	// Repeat reports that the change had been accepted before.
	Repeat bool `json:",omitempty"`
	// Findings are warnings only.
	Findings    []config.Finding    `json:",omitempty"`
	Differences []config.Difference `json:",omitempty"`
}

// Committer accepts changes; several threads may use it.
type Committer struct {
	log       Log
	sets      SetSource
	uses      UsageSource
	history   *History
	validator config.Validator
}

// NewCommitter returns a committer to log.
func NewCommitter(log Log, sets SetSource, uses UsageSource, history *History) *Committer {
	return &Committer{log: log, sets: sets, uses: uses, history: history, validator: config.NewValidator(document.AddressChecker{})}
}

// Commit decodes, validates and appends the change in body as made by author.
//
// The errors are a [*document.Error], a [*RejectedError], a [*ConflictError], a
// [*config.OrderError] for a base that does not exist yet, [ErrTooLarge], an
// [*UnsureError], or another error that means the change was not committed.
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
	base, winner, err := committer.at(ctx, change.Base())
	if err != nil {
		return Receipt{}, err
	}
	if winner != nil {
		return settle(payload, winner)
	}
	return committer.append(ctx, base, change, payload)
}

// append validates the change to base and commits it.
func (committer *Committer) append(ctx context.Context, base config.Set, change config.Change, payload []byte) (Receipt, error) {
	findings := committer.validator.Validate(base, change, committer.uses.Use())
	if config.HasErrors(findings) {
		return Receipt{}, &RejectedError{findings}
	}
	err := committer.log.Append(ctx, kvlog.Entry{Number: change.Revision, WriteID: uuid.NewString(), Payload: payload})
	var conflict *kvlog.ConflictError
	var unsure *kvlog.UncertainError
	switch {
	case errors.As(err, &conflict):
		return settleEntry(payload, conflict.Winner)
	case errors.As(err, &unsure):
		return Receipt{}, &UncertainError{Revision: change.Revision, Cause: err}
	case errors.Is(err, kvlog.ErrVoid):
		return Receipt{}, &ConflictError{Revision: change.Revision}
	case err != nil:
		return Receipt{}, err
	}
	committer.history.Record(base, change)
	differences := config.Diff(base, base.WithChange(change))
	return Receipt{Revision: change.Revision, Findings: findings, Differences: differences}, nil
}

// at returns the set of a revision if that is the newest one, or else the change that followed it.
func (committer *Committer) at(ctx context.Context, revision int64) (config.Set, *config.Change, error) {
	set := committer.sets.Set()
	if revision < set.Revision() {
		winner, err := committer.change(ctx, revision+1)
		return set, winner, err
	}
	if revision == set.Revision() {
		return set, nil, nil
	}
	return committer.catchUp(ctx, set, revision)
}

// change returns an accepted change, from memory or else from the log.
func (committer *Committer) change(ctx context.Context, revision int64) (*config.Change, error) {
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

// catchUp applies what the log has and this entry has not applied yet.
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

// settleEntry compares a change with the entry that has its number.
func settleEntry(payload []byte, winner kvlog.Entry) (Receipt, error) {
	change, err := decode(winner)
	if err != nil {
		return Receipt{}, err
	}
	return settle(payload, &change)
}

// settle tells a repeat of the winning change, which has the same form down to
// its identifier and author, from another change.
func settle(payload []byte, winner *config.Change) (Receipt, error) {
	stored, err := document.Encode(*winner)
	if err != nil {
		return Receipt{}, err
	}
	if !bytes.Equal(payload, stored) {
		return Receipt{}, &ConflictError{Revision: winner.Revision, Winner: winner}
	}
	return Receipt{Revision: winner.Revision, Repeat: true}, nil
}

// decode returns the change of a log entry, whose number is the revision.
func decode(entry kvlog.Entry) (config.Change, error) {
	change, err := document.Decode(entry.Payload)
	if err == nil && change.Revision != entry.Number {
		err = &config.RevisionError{Have: entry.Number - 1, Change: change.Revision}
	}
	return change, err
}
