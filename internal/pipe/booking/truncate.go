package booking

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
)

// truncate drops expired records, and removes the oldest log entries once enough of them are unnecessary.
//
// Unresolved records in those entries are first appended again. After a failure,
// truncate waits for the next interval, since expired entries only take up space.
func (writer *writer) truncate(ctx context.Context) {
	if !writer.upToDate || writer.refresh(ctx) != nil {
		return
	}
	shard := writer.state.Load()
	through, carried := shard.Truncation(time.Now())
	if through-writer.floor < writer.ledger.settings.TruncateEntries {
		return
	}
	if len(carried) > 0 && !writer.reappend(ctx, shard.Last()+1, carried) {
		return
	}
	if writer.log.Truncate(ctx, through) != nil {
		return
	}
	writer.floor = through
	writer.state.Update(func(shard booking.Shard) booking.Shard { return shard.WithoutTruncated(through) })
}

// reappend appends unresolved records as a new log entry, so that they are kept after
// the truncation, and reports whether it succeeded.
func (writer *writer) reappend(ctx context.Context, number int64, carried []booking.Record) bool {
	if len(carried) > changeLimit {
		return false
	}
	var changes []booking.Change
	for _, record := range carried {
		changes = append(changes, record.CarryForward())
	}
	if _, err := writer.append(ctx, number, changes); err != nil {
		writer.upToDate = false
		return false
	}
	writer.apply(number, changes)
	return true
}
