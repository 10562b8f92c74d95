package booking

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// queueLength bounds the queue of proposals of a shard's writer; when it is full, proposers block.
const queueLength = 1024

// The bounds of the back-off after reads and appends that failed.
const (
	retryMin = 20 * time.Millisecond
	retryMax = time.Second
)

// proposal requests a decision on the latest state and the commit of the resulting change.
type proposal struct {
	// abandoned is closed when the proposer no longer waits for the decision; nil if it always waits.
	abandoned <-chan struct{}
	// decide must have no side effects: it is called again after a conflict, and on the committed state.
	decide func(shard booking.Shard, now time.Time) booking.Decision
	// size is the length of the answer in the change, in bytes.
	size int
	// needsFreshState requests a decision on a state that was read from the log after the proposal was made.
	needsFreshState bool
	// reply receives one decision, made on committed state. It has room for it, so that the
	// writer never blocks.
	reply chan booking.Decision
}

// writer is the only goroutine of this process that appends to one shard's log.
type writer struct {
	ledger *Ledger
	shard  int
	log    Log
	state  *rcu.Cell[booking.Shard]
	queue  chan proposal
	// upToDate reports that the state is expected to be up to date with the log. Only the
	// writer's goroutine uses upToDate, floor and withdrawals.
	upToDate bool
	// floor is the number up to which this writer has truncated the log.
	floor int64
	// withdrawals are proposals to withdraw intents of this process that will never be sent.
	withdrawals []proposal
}

func newWriter(ledger *Ledger, shard int, log Log) *writer {
	return &writer{
		ledger: ledger, shard: shard, log: log,
		state: rcu.New(booking.NewShard(ledger.settings.ShardSettings)),
		queue: make(chan proposal, queueLength),
	}
}

func (writer *writer) run(ctx context.Context) {
	truncate := time.NewTicker(writer.ledger.settings.TruncateInterval)
	defer truncate.Stop()
	for ctx.Err() == nil {
		var batch []proposal
		if len(writer.withdrawals) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-truncate.C:
				writer.truncate(ctx)
				continue
			case received := <-writer.queue:
				batch = append(batch, received)
			}
		}
		_ = pause.For(ctx, writer.ledger.settings.BatchDelay)
		writer.commitBatch(ctx, batch)
	}
}

// commitBatch decides and appends until every proposal of the batch is answered or abandoned.
func (writer *writer) commitBatch(ctx context.Context, batch []proposal) {
	wait := retryMin
	for ctx.Err() == nil {
		batch = writer.withQueued(batch)
		if len(batch) == 0 {
			return
		}
		var err error
		if writer.needsRead(batch) {
			err = writer.refresh(ctx)
		}
		batch, err = writer.tryAppend(ctx, batch, err)
		if isConflict(err) {
			// The next iteration reads the entries that other processes have appended.
			writer.upToDate = false
			continue
		}
		if err != nil {
			_ = pause.For(ctx, wait)
			wait = min(2*wait, retryMax)
		}
	}
}

// tryAppend answers the proposals that need no write, appends the changes of the
// others, and returns the proposals that are still to be answered.
//
// After a failed read of the log, readErr, it decides on the state read so far,
// which suffices for recorded answers because they are final.
func (writer *writer) tryAppend(ctx context.Context, batch []proposal, readErr error) ([]proposal, error) {
	base := writer.state.Load()
	plan := planBatch(base, batch, time.Now(), writer.ledger.settings.BatchBytes, readErr != nil)
	if readErr != nil || len(plan.changes) == 0 {
		return plan.unanswered, readErr
	}
	entry, err := writer.append(ctx, base.Last()+1, plan.changes)
	if err != nil {
		return plan.unanswered, err
	}
	writer.apply(entry.Number, plan.changes)
	committed := writer.state.Load()
	now := time.Now()
	for _, proposal := range plan.written {
		proposal.reply <- proposal.decide(committed, now)
	}
	return plan.deferred, nil
}

func (writer *writer) append(ctx context.Context, number int64, changes []booking.Change) (kvlog.Entry, error) {
	payload, err := encodeChanges(changes)
	if err != nil {
		return kvlog.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, writer.ledger.settings.AppendTimeout)
	defer cancel()
	entry := kvlog.Entry{Number: number, WriteID: writer.ledger.nextID(), Payload: payload}
	return entry, writer.log.Append(ctx, entry)
}

// refresh applies the entries that were appended to the log since the last read.
func (writer *writer) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writer.ledger.settings.AppendTimeout)
	defer cancel()
	tail, err := writer.log.Read(ctx, writer.state.Load().Last()+1)
	var truncated *kvlog.TruncatedError
	if errors.As(err, &truncated) {
		// Truncation removes only expired records, so the remaining log yields the complete state.
		writer.state.Store(booking.NewShard(writer.ledger.settings.ShardSettings).WithLast(truncated.Floor))
		tail, err = writer.log.Read(ctx, truncated.Floor+1)
	}
	if err != nil {
		return err
	}
	for _, entry := range tail.Entries {
		changes, err := decodeChanges(entry.Payload)
		if err != nil {
			return err
		}
		writer.apply(entry.Number, changes)
	}
	writer.upToDate = true
	return nil
}

// apply applies a committed entry to the state and queues withdrawals for intents of
// this process that will never be sent.
func (writer *writer) apply(number int64, changes []booking.Change) {
	writer.state.Update(func(shard booking.Shard) booking.Shard { return shard.WithEntry(number, changes) })
	for _, change := range changes {
		if change.State == booking.StateIntent && change.Holder == writer.ledger.settings.HolderID && writer.ledger.isUnsent(change.Attempt) {
			writer.withdrawals = append(writer.withdrawals, withdrawalProposal(change.Key, change.Attempt))
		}
	}
}

// withQueued adds the withdrawals and the queued proposals to the batch, and removes abandoned proposals.
func (writer *writer) withQueued(batch []proposal) []proposal {
	batch = append(batch, writer.withdrawals...)
	writer.withdrawals = nil
	for waiting := true; waiting && len(batch) < queueLength; {
		select {
		case received := <-writer.queue:
			batch = append(batch, received)
		default:
			waiting = false
		}
	}
	var alive []proposal
	for _, proposal := range batch {
		select {
		case <-proposal.abandoned:
		default:
			alive = append(alive, proposal)
		}
	}
	return alive
}

func (writer *writer) needsRead(batch []proposal) bool {
	for index := range batch {
		if batch[index].needsFreshState {
			return true
		}
	}
	return !writer.upToDate
}

// isConflict reports whether another writer has already used the number of an append.
func isConflict(err error) bool {
	var conflict *kvlog.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvlog.ErrNumberTruncated)
}
