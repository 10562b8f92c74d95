package kvlog

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// Follow passes each entry after the tail to deliver, once and in order of numbers.
//
// It returns when ctx ends, with the error of deliver, or with a
// [*TruncatedError] when it fell so far behind that entries are gone.
func (log *Log) Follow(ctx context.Context, tail Tail, deliver func(Entry) error) error {
	follower := &follower{log: log, last: tail.Last, deliver: deliver}
	return log.store.Watch(ctx, log.prefix, tail.Revision+1, func(event kv.Event) error {
		switch {
		case event.Kind == kv.EventReload:
			return follower.catchUp(ctx)
		case event.Kind == kv.EventDelete || event.Item.Key == log.floorKey():
			return nil
		default:
			return follower.handlePut(ctx, event.Item)
		}
	})
}

// follower is the position of one Follow; it belongs to that call's goroutine.
type follower struct {
	log     *Log
	last    int64
	deliver func(Entry) error
}

func (follower *follower) handlePut(ctx context.Context, item kv.Item) error {
	entry, err := follower.log.decode(item)
	if err != nil || entry.Number <= follower.last {
		return err
	}
	if entry.Number > follower.last+1 {
		return follower.catchUp(ctx)
	}
	return follower.emit(entry)
}

// catchUp reads what the watch did not show.
func (follower *follower) catchUp(ctx context.Context) error {
	tail, err := follower.log.Read(ctx, follower.last+1)
	if err != nil {
		return err
	}
	for _, entry := range tail.Entries {
		if err := follower.emit(entry); err != nil {
			return err
		}
	}
	return nil
}

func (follower *follower) emit(entry Entry) error {
	follower.last = entry.Number
	return follower.deliver(entry)
}
