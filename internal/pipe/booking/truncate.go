package booking

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
)

// truncate drops expired records, and the log's entries when enough of them hold nothing else.
//
// A failure is left to the next interval: expired entries only take up room.
func (writer *writer) truncate(ctx context.Context) {
	if !writer.loaded || writer.refresh(ctx) != nil {
		return
	}
	shard := writer.state.Load()
	through, carried := shard.Truncation(time.Now())
	if through-writer.floor < writer.ledger.settings.TruncateEntries {
		return
	}
	if len(carried) > 0 && !writer.carry(ctx, shard.Last()+1, carried) {
		return
	}
	if writer.log.Truncate(ctx, through) != nil {
		return
	}
	writer.floor = through
	writer.state.Update(func(shard booking.Shard) booking.Shard { return shard.WithFloor(through) })
}

// carry appends unsettled records again, so that they outlive the truncation.
func (writer *writer) carry(ctx context.Context, number int64, carried []booking.Record) bool {
	if len(carried) > changeLimit {
		return false
	}
	var changes []booking.Change
	for _, record := range carried {
		changes = append(changes, record.CarryForward())
	}
	if _, err := writer.append(ctx, number, changes); err != nil {
		writer.loaded = false
		return false
	}
	writer.fold(number, changes)
	return true
}
