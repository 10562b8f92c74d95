package kvlog

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// Follow calls deliver for each entry after the tail, once and in the order of numbers.
//
// It returns an error when ctx ends, the error of deliver, or a [*TruncatedError]
// if entries were truncated before it could deliver them.
func (log *Log) Follow(ctx context.Context, tail Tail, deliver func(Entry) error) error {
	follower := &follower{log: log, last: tail.LastNumber, deliver: deliver}
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

// follower is the progress of one call of Follow and is used only by the goroutine of that call.
type follower struct {
	log *Log
	// last is the number of the last delivered entry.
	last    int64
	deliver func(Entry) error
}

// handlePut delivers the entry of a put event. If entries before it were not delivered yet, it reads
// them from the log.
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

// catchUp reads and delivers the entries after the last delivered one.
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
