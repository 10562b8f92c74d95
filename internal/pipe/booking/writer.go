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

// queueLength bounds the proposals that wait for a shard's writer; more wait in their callers.
const queueLength = 1024

// The waits after appends that the store did not answer.
const (
	retryMin = 20 * time.Millisecond
	retryMax = time.Second
)

// proposal asks for a decision on the newest state, and for the commit of its change.
type proposal struct {
	// dropped is closed when nobody waits for the outcome any more; nil is never closed.
	dropped <-chan struct{}
	decide  func(shard booking.Shard, now time.Time) booking.Decision
	// size is the length of the answer in the change, in bytes.
	size int
	// fresh asks for a state read from the log after the proposal was made.
	fresh bool
	// reply takes one decision, made on the committed state.
	reply chan booking.Decision
}

// writer is the only process-local appender of one shard's log.
type writer struct {
	ledger *Ledger
	shard  int
	log    Log
	state  *rcu.Cell[booking.Shard]
	queue  chan proposal
	// loaded, floor and backlog belong to the writer's goroutine.
	loaded bool
	// floor is the number up to which this writer truncated the log.
	floor int64
	// backlog holds withdrawals of this holder's intents that nobody will send.
	backlog []proposal
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
		if len(writer.backlog) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-truncate.C:
				writer.truncate(ctx)
				continue
			case first := <-writer.queue:
				batch = append(batch, first)
			}
		}
		_ = pause.For(ctx, writer.ledger.settings.BatchDelay)
		writer.commit(ctx, batch)
	}
}

// commit decides and appends until every proposal of the batch is answered or dropped.
func (writer *writer) commit(ctx context.Context, batch []proposal) {
	wait := retryMin
	for ctx.Err() == nil {
		batch = writer.withWaiting(batch)
		if len(batch) == 0 {
			return
		}
		var err error
		if writer.needsRead(batch) {
			err = writer.refresh(ctx)
		}
		batch, err = writer.try(ctx, batch, err)
		if conflicts(err) {
			// The next round reads what was written in between.
			writer.loaded = false
			continue
		}
		if err != nil {
			_ = pause.For(ctx, wait)
			wait = min(2*wait, retryMax)
		}
	}
}

// try answers what can be answered without a write and appends the changes of the rest.
//
// A failed read leaves the batch to be decided on the state known so far, which
// is good enough for final answers.
func (writer *writer) try(ctx context.Context, batch []proposal, readErr error) ([]proposal, error) {
	base := writer.state.Load()
	plan := planFor(base, batch, time.Now(), writer.ledger.settings.BatchBytes, readErr != nil)
	if readErr != nil || len(plan.changes) == 0 {
		return plan.rest, readErr
	}
	entry, err := writer.append(ctx, base.Last()+1, plan.changes)
	if err != nil {
		return plan.rest, err
	}
	writer.fold(entry.Number, plan.changes)
	committed := writer.state.Load()
	now := time.Now()
	for _, proposal := range plan.written {
		proposal.reply <- proposal.decide(committed, now)
	}
	return plan.later, nil
}

func (writer *writer) append(ctx context.Context, number int64, changes []booking.Change) (kvlog.Entry, error) {
	payload, err := encode(changes)
	if err != nil {
		return kvlog.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, writer.ledger.settings.AppendTimeout)
	defer cancel()
	entry := kvlog.Entry{Number: number, WriteID: writer.ledger.identifier(), Payload: payload}
	return entry, writer.log.Append(ctx, entry)
}

// refresh reads the tail of the log into the state.
func (writer *writer) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writer.ledger.settings.AppendTimeout)
	defer cancel()
	tail, err := writer.log.Read(ctx, writer.state.Load().Last()+1)
	var truncated *kvlog.TruncatedError
	if errors.As(err, &truncated) {
		// Nothing that still counts was truncated, so the rest of the log is the whole state.
		writer.state.Store(booking.NewShard(writer.ledger.settings.ShardSettings).WithLast(truncated.Floor))
		tail, err = writer.log.Read(ctx, truncated.Floor+1)
	}
	if err != nil {
		return err
	}
	for _, entry := range tail.Entries {
		changes, err := decode(entry.Payload)
		if err != nil {
			return err
		}
		writer.fold(entry.Number, changes)
	}
	writer.loaded = true
	return nil
}

// fold applies a committed entry and withdraws intents of this holder that nobody will send.
func (writer *writer) fold(number int64, changes []booking.Change) {
	writer.state.Update(func(shard booking.Shard) booking.Shard { return shard.WithEntry(number, changes) })
	for _, change := range changes {
		if change.State == booking.StateIntent && change.Holder == writer.ledger.settings.Holder && writer.ledger.unsent(change.Attempt) {
			writer.backlog = append(writer.backlog, withdrawal(change.Key, change.Attempt))
		}
	}
}

// withWaiting drops the proposals that nobody waits for and adds those that have arrived.
func (writer *writer) withWaiting(batch []proposal) []proposal {
	batch = append(batch, writer.backlog...)
	writer.backlog = nil
	for waiting := true; waiting && len(batch) < queueLength; {
		select {
		case next := <-writer.queue:
			batch = append(batch, next)
		default:
			waiting = false
		}
	}
	var alive []proposal
	for _, proposal := range batch {
		select {
		case <-proposal.dropped:
		default:
			alive = append(alive, proposal)
		}
	}
	return alive
}

func (writer *writer) needsRead(batch []proposal) bool {
	for index := range batch {
		if batch[index].fresh {
			return true
		}
	}
	return !writer.loaded
}

func conflicts(err error) bool {
	var conflict *kvlog.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvlog.ErrVoid)
}
