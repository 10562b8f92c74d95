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
	// abandoned is closed when nobody waits for the outcome any more; nil is never closed.
	abandoned <-chan struct{}
	decide  func(shard booking.Shard, now time.Time) booking.Decision
	// size is the length of the answer in the change, in bytes.
	size int
	// needsFreshState asks for a state read from the log after the proposal was made.
	needsFreshState bool
	// reply takes one decision, made on the committed state.
	reply chan booking.Decision
}

// writer is the only process-local appender of one shard's log.
type writer struct {
	ledger *Ledger
	shard  int
	log    Appender
	state  *rcu.Cell[booking.Shard]
	queue  chan proposal
	// loaded, floor and backlog belong to the writer's goroutine.
	loaded bool
	// floor is the number up to which this writer truncated the log.
	floor int64
	// withdrawals holds withdrawals of this holder's intents that nobody will send.
	withdrawals []proposal
}

func newWriter(ledger *Ledger, shard int, log Appender) *writer {
	return &writer{
		ledger: ledger, shard: shard, log: log,
		state: rcu.New(booking.NewShard(ledger.settings.Keep)),
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
			case first := <-writer.queue:
				batch = append(batch, first)
			}
		}
		_ = pause.For(ctx, writer.ledger.settings.GroupDelay)
		writer.commit(ctx, batch)
	}
}

// commit decides and appends until every proposal of the batch is answered or dropped.
func (writer *writer) commit(ctx context.Context, batch []proposal) {
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

// tryAppend answers what can be answered without a write and appends the changes of the rest.
//
// A failed read leaves the batch to be decided on the state known so far, which
// is good enough for final answers.
func (writer *writer) tryAppend(ctx context.Context, batch []proposal, readErr error) ([]proposal, error) {
	base := writer.state.Load()
	plan := planBatch(base, batch, time.Now(), writer.ledger.settings.GroupBytes, readErr != nil)
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
	payload, err := encode(changes)
	if err != nil {
		return kvlog.Entry{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, writer.ledger.settings.AppendTimeout)
	defer cancel()
	entry := kvlog.Entry{Number: number, WriteID: writer.ledger.nextID(), Payload: payload}
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
		writer.state.Store(booking.NewShard(writer.ledger.settings.Keep).WithLast(truncated.Floor))
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
		writer.apply(entry.Number, changes)
	}
	writer.loaded = true
	return nil
}

// apply applies a committed entry and withdraws intents of this holder that nobody will send.
func (writer *writer) apply(number int64, changes []booking.Change) {
	writer.state.Update(func(shard booking.Shard) booking.Shard { return shard.WithEntry(number, changes) })
	for _, change := range changes {
		if change.State == booking.StateIntent && change.Holder == writer.ledger.settings.Holder && writer.ledger.isUnsent(change.Attempt) {
			writer.withdrawals = append(writer.withdrawals, withdrawalProposal(change.Key, change.Attempt))
		}
	}
}

// withQueued drops the proposals that nobody waits for and adds those that have arrived.
func (writer *writer) withQueued(batch []proposal) []proposal {
	batch = append(batch, writer.withdrawals...)
	writer.withdrawals = nil
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
	return !writer.loaded
}

func isConflict(err error) bool {
	var conflict *kvlog.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvlog.ErrVoid)
}
