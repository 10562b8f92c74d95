package kvlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// The backoff between attempts to find out whether a write without an answer took effect.
const (
	resolveBackoff      = 10 * time.Millisecond
	resolveBackoffLimit = time.Second
)

// Append commits the entry under its number, which must be one more than the last number that the
// caller read.
//
// It returns a [*ConflictError] if another entry has the number, [ErrNumberTruncated] if
// the log was truncated up to the number or beyond, and an [*UncertainError] if
// ctx ended before Append could determine whether the entry was written. Any
// other error means that the entry was not written.
func (log *Log) Append(ctx context.Context, entry Entry) error {
	key, value := log.key(entry.Number), encode(entry)
	mayBeWritten := false
	for attempt := 0; ; attempt++ {
		revision, err := log.store.Put(ctx, key, value, 0)
		if err == nil {
			return log.checkFloor(ctx, entry, revision)
		}
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			return log.resolve(ctx, entry, conflict.Current)
		}
		var unanswered *kv.UnansweredError
		if !errors.As(err, &unanswered) {
			return err
		}
		mayBeWritten = mayBeWritten || unanswered.Sent
		if !mayBeWritten {
			return err
		}
		if item, found, readErr := log.store.Get(ctx, key); readErr == nil && found {
			return log.resolve(ctx, entry, item)
		}
		// An absent key does not prove that the write failed, since the write may still be
		// in transit. Only an entry under the number gives the outcome, so the same entry
		// is written again.
		if backOff(ctx, attempt) != nil {
			return &UncertainError{Number: entry.Number, Cause: err}
		}
	}
}

// resolve returns the outcome of an append for whose number the store has an item: a [*ConflictError]
// if the item is from another append, else the result of checkFloor.
func (log *Log) resolve(ctx context.Context, entry Entry, item kv.Item) error {
	winner, err := log.decode(item)
	if err != nil {
		return err
	}
	if winner.WriteID != entry.WriteID {
		return &ConflictError{Winner: winner}
	}
	return log.checkFloor(ctx, entry, item.Revision)
}

// checkFloor returns [ErrNumberTruncated], and deletes the entry, if its number is at or below the floor. It
// reads the floor at or after revision, at which the entry was written.
func (log *Log) checkFloor(ctx context.Context, entry Entry, revision int64) error {
	for attempt := 0; ; attempt++ {
		page, err := log.store.Range(ctx, log.floorKey(), "", 1)
		if err == nil && page.Revision >= revision {
			if len(page.Items) == 0 {
				return nil
			}
			floor, err := strconv.ParseInt(string(page.Items[0].Value), 10, 64)
			if err != nil {
				// The entry is written, but may be void.
				return &UncertainError{Number: entry.Number, Cause: fault.Wrap(err, stepLog, log.floorKey())}
			}
			if entry.Number <= floor {
				_ = log.store.Delete(ctx, log.key(entry.Number), "")
				return ErrNumberTruncated
			}
			return nil
		}
		if backOff(ctx, attempt) != nil {
			return &UncertainError{Number: entry.Number, Cause: err}
		}
	}
}

// Truncate raises the floor to last, the number of the last entry to remove, unless it is higher already,
// and then deletes the entries up to the floor.
func (log *Log) Truncate(ctx context.Context, last int64) error {
	item, found, err := log.store.Get(ctx, log.floorKey())
	if err != nil {
		return err
	}
	floor := int64(0)
	if found {
		if floor, err = strconv.ParseInt(string(item.Value), 10, 64); err != nil {
			return fault.Wrap(err, stepLog, item.Key)
		}
	}
	if floor < last {
		if _, err := log.store.Put(ctx, log.floorKey(), strconv.AppendInt(nil, last, 10), item.Revision); err != nil {
			return err
		}
	}
	return log.store.Delete(ctx, log.key(0), log.key(max(floor, last)+1))
}

// backOff sleeps for the backoff after an attempt, counted from 0, with jitter. It returns the error of
// ctx if that ends first.
func backOff(ctx context.Context, attempt int) error {
	limit := min(resolveBackoff<<min(attempt, 10), resolveBackoffLimit)
	return pause.For(ctx, limit/2+rand.N(limit/2))
}
