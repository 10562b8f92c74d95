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

// The waits between tries to find out what became of a write.
const (
	settleBackoff      = 10 * time.Millisecond
	settleBackoffLimit = time.Second
)

// Append commits the entry under its number, which is one more than the last that the caller read.
//
// The errors are a [*ConflictError] when another entry has the number,
// [ErrVoid] when the log was truncated past it, an [*UnsureError] when ctx
// ended before it was known whether the entry was written, or else an error
// that means it was not.
func (log *Log) Append(ctx context.Context, entry Entry) error {
	key, value := log.key(entry.Number), encode(entry)
	sent := false
	for attempt := 0; ; attempt++ {
		revision, err := log.store.Put(ctx, key, value, 0)
		if err == nil {
			return log.checkVoid(ctx, entry, revision)
		}
		var conflict *kv.ConflictError
		if errors.As(err, &conflict) {
			return log.settle(ctx, entry, conflict.Current)
		}
		var out *kv.UnansweredError
		if !errors.As(err, &out) {
			return err
		}
		sent = sent || out.Sent
		if !sent {
			return err
		}
		if item, found, readErr := log.store.Get(ctx, key); readErr == nil && found {
			return log.settle(ctx, entry, item)
		}
		// The write may still be on its way, so an absent key proves nothing:
		// only an entry under the number does, hence the same entry is offered again.
		if wait(ctx, attempt) != nil {
			return &UncertainError{Number: entry.Number, Cause: err}
		}
	}
}

// settle compares the item found under the number with the entry to be written.
func (log *Log) settle(ctx context.Context, entry Entry, item kv.Item) error {
	winner, err := log.decode(item)
	if err != nil {
		return err
	}
	if winner.WriteID != entry.WriteID {
		return &ConflictError{Winner: winner}
	}
	return log.checkVoid(ctx, entry, item.Revision)
}

// checkVoid reads the floor as it was after the entry was written at revision.
func (log *Log) checkVoid(ctx context.Context, entry Entry, revision int64) error {
	for attempt := 0; ; attempt++ {
		page, err := log.store.Range(ctx, log.floorKey(), "", 1)
		if err == nil && page.Revision >= revision {
			if len(page.Items) == 0 {
				return nil
			}
			floor, err := strconv.ParseInt(string(page.Items[0].Value), 10, 64)
			if err != nil {
				return fault.Wrap(err, stepLog, log.floorKey())
			}
			if entry.Number <= floor {
				_ = log.store.Delete(ctx, log.key(entry.Number), "")
				return ErrVoid
			}
			return nil
		}
		if wait(ctx, attempt) != nil {
			return &UncertainError{Number: entry.Number, Cause: err}
		}
	}
}

// Truncate raises the floor to through and then deletes the entries up to it.
func (log *Log) Truncate(ctx context.Context, through int64) error {
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
	if floor < through {
		if _, err := log.store.Put(ctx, log.floorKey(), strconv.AppendInt(nil, through, 10), item.Revision); err != nil {
			return err
		}
	}
	return log.store.Delete(ctx, log.key(0), log.key(max(floor, through)+1))
}

// wait sleeps for the backoff of an attempt with jitter, or returns the error of ctx.
func wait(ctx context.Context, attempt int) error {
	limit := min(settleBackoff<<min(attempt, 10), settleBackoffLimit)
	return pause.For(ctx, limit/2+rand.N(limit/2))
}
