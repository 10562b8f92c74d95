package booking

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// stepBooking names this step of the request path in errors.
const stepBooking = "booking"

// Order is one request to run a booking.
type Order struct {
	Key      booking.Key
	BodyHash string
	// ByKey states that the service drops repeats of a key itself.
	ByKey bool
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
	// Request is what a shard's leader needs to run the order in place of this entry.
	Request call.Request
}

// Result is how an order ended: an answer, or a refusal or failure as the error.
type Result struct {
	Answer call.Answer
	Err    error
}

// Sender reaches the service of an order.
type Sender interface {
	// Send runs the order. Its error is a [*call.Refusal] or a [*call.Failure]
	// with [call.RanNot] only if the order certainly did not run.
	Send(ctx context.Context) (call.Answer, error)
	// Status asks the service what became of the order's key.
	Status(ctx context.Context) (Status, error)
}

// ForwardOutcome is what became of an order that was passed to its shard's leader.
type ForwardOutcome string

// The outcomes of passing an order on.
const (
	// ForwardAnswered means that the leader's answer is there.
	ForwardAnswered ForwardOutcome = "Answered"
	// ForwardNotTaken means that no other entry has the order, also when this entry leads.
	ForwardNotTaken ForwardOutcome = "NotTaken"
	// ForwardUncertain means that the leader may have the order, and may still run it.
	ForwardUncertain ForwardOutcome = "Unsure"
)

// Do runs the order at most once, or gives the answer of the time that it ran.
func (ledger *Ledger) Do(ctx context.Context, order Order, sender Sender) (call.Answer, error) {
	if record := ledger.writerOf(order.Key).state.Load().Record(order.Key); record.State == booking.StateDone && !record.Expired(time.Now(), ledger.settings.ShardSettings.Retention) {
		return repeated(record, order)
	}
	forwarding := ForwardNotTaken
	if ledger.leaders != nil {
		var result Result
		result, forwarding = ledger.leaders.Forward(ctx, booking.ShardOf(order.Key, len(ledger.writers)), order)
		if forwarding == ForwardAnswered {
			return result.Answer, result.Err
		}
	}
	ctx, cancel := context.WithDeadline(ctx, order.Deadline.Add(-ledger.settings.ReplyMargin))
	defer cancel()
	run := &run{ledger: ledger, writer: ledger.writerOf(order.Key), order: order, sender: sender}
	answer, err := run.do(ctx)
	if forwarding == ForwardUncertain {
		err = unsure(err)
	}
	return answer, err
}

// unsure returns the error of an order that the leader may still run: a refusal here says nothing of the leader.
//
// Another request under the same key is refused by the log, which holds for the leader too.
func unsure(err error) error {
	var refusal *call.Refusal
	if !errors.As(err, &refusal) || refusal.Reason == call.ReasonKeyConflict {
		return err
	}
	return &call.Failure{
		Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: stepBooking,
		Detail: "the leader of the shard may run it: " + refusal.Detail + "; repeat with the same key",
	}
}

// run is the course of one order at this entry; it belongs to the caller's goroutine.
type run struct {
	ledger *Ledger
	writer *writer
	order  Order
	sender Sender
	// intent is the order as it is decided on.
	intent booking.Order
	// other is the newest unsettled record of another attempt, absent if there was none.
	other booking.Record
	// since is when the other attempt was recorded, no later than this entry saw it.
	since time.Time
	wait  time.Duration
	fresh bool
}

func (run *run) do(ctx context.Context) (call.Answer, error) {
	attempt := run.ledger.identifier()
	run.intent = booking.Order{
		Key: run.order.Key, BodyHash: run.order.BodyHash, ByKey: run.order.ByKey,
		Holder: run.ledger.settings.Holder, Attempt: attempt, IsUnsent: run.ledger.unsent,
	}
	run.wait = run.ledger.settings.PollMin
	run.ledger.open(attempt)
	for {
		decision, err := run.propose(ctx)
		if err != nil {
			return call.Answer{}, run.giveUp(ctx, err)
		}
		switch decision.Verdict {
		case booking.VerdictSend:
			return run.dispatch(ctx)
		case booking.VerdictReplay, booking.VerdictConflict, booking.VerdictFull:
			run.ledger.close(attempt)
			return final(decision, run.order)
		case booking.VerdictResolve:
			if result, ended := run.settle(ctx, decision.Record); ended {
				run.ledger.close(attempt)
				return result.Answer, result.Err
			}
		case booking.VerdictWait:
			if err := run.await(ctx, decision.Record); err != nil {
				return call.Answer{}, run.giveUp(ctx, err)
			}
		}
	}
}

// propose passes the order to the shard's writer and waits for the decision.
func (run *run) propose(ctx context.Context) (booking.Decision, error) {
	intent := run.intent
	return run.ledger.propose(ctx, run.writer, proposal{
		dropped: ctx.Done(), fresh: run.fresh, reply: make(chan booking.Decision, 1),
		decide: func(shard booking.Shard, now time.Time) booking.Decision { return shard.Decide(intent, now) },
	})
}

func (ledger *Ledger) propose(ctx context.Context, writer *writer, proposed proposal) (booking.Decision, error) {
	select {
	case writer.queue <- proposed:
	case <-ctx.Done():
		return booking.Decision{}, ctx.Err()
	case <-ledger.stopped:
		return booking.Decision{}, errStopped
	}
	select {
	case decision := <-proposed.reply:
		return decision, nil
	case <-ctx.Done():
		return booking.Decision{}, ctx.Err()
	case <-ledger.stopped:
		return booking.Decision{}, errStopped
	}
}

var errStopped = errors.New("the ledger has stopped")

// await waits before the next look at an order that another attempt holds.
func (run *run) await(ctx context.Context, record booking.Record) error {
	if record.Attempt != run.other.Attempt {
		// The record's own time counts, so that short requests that repeat one after
		// another see the grace pass; a clock that is ahead does not lengthen it. The
		// grace keeps nothing safe, it only spares status calls.
		run.since = time.Now()
		if record.At.Before(run.since) {
			run.since = record.At
		}
	}
	own := record.Holder == run.ledger.settings.Holder
	run.other, run.fresh = record, !own
	gone := run.ledger.leaders != nil && run.ledger.leaders.Gone(record.Holder)
	if !own && (gone || time.Since(run.since) >= run.ledger.settings.HolderGrace) {
		run.intent = run.intent.WithAbandoned(record)
		return ctx.Err()
	}
	if own {
		// Looking at this entry's own state costs the store nothing.
		run.wait = run.ledger.settings.PollMin
	}
	return run.poll(ctx)
}

func (run *run) poll(ctx context.Context) error {
	wait := run.wait
	run.wait = min(2*run.wait, run.ledger.settings.PollMax)
	return pause.For(ctx, wait)
}

// giveUp ends an order that was not sent, and withdraws its intent in case it was written.
//
// From here on nobody sends the attempt: this goroutine alone could have.
func (run *run) giveUp(ctx context.Context, cause error) error {
	run.ledger.close(run.intent.Attempt)
	run.ledger.later(ctx, run.writer, withdrawal(run.order.Key, run.intent.Attempt), func() {})
	if run.other.Unresolved() {
		return unknown(run.other, "another attempt with this key is not settled; repeat with the same key")
	}
	if errors.Is(cause, errStopped) {
		return call.Refuse(call.ReasonStopping, "this entry is stopping; repeat with the same key").WithRetryAfter(time.Second)
	}
	return call.Refuse(call.ReasonStoreOut, "this request could not be recorded in time (%v); repeat it with the same key", cause).WithRetryAfter(time.Second)
}

// later passes a proposal to the writer even if ctx has ended, and calls done after its commit.
func (ledger *Ledger) later(ctx context.Context, writer *writer, proposed proposal, done func()) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		if _, err := ledger.propose(ctx, writer, proposed); err == nil {
			done()
		}
	}()
}

// final turns a decision that ends an order into its answer or error.
func final(decision booking.Decision, order Order) (call.Answer, error) {
	switch decision.Verdict {
	case booking.VerdictFull:
		return call.Answer{}, call.Refuse(call.ReasonOverLimit, "no room for more bookings").WithRetryAfter(time.Minute)
	default:
		return repeated(decision.Record, order)
	}
}

func repeated(record booking.Record, order Order) (call.Answer, error) {
	if record.BodyHash != order.BodyHash {
		return call.Answer{}, call.Refuse(call.ReasonKeyConflict, "the idempotency key was used for another request")
	}
	return record.Answer, nil
}

func unknown(record booking.Record, detail string) error {
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: stepBooking, Peer: record.Holder, Detail: detail}
}

// kept returns the answer, or one that stands for it if it is too large for the
// store, so that all callers get the same.
func (ledger *Ledger) kept(answer call.Answer) call.Answer {
	if len(answer.Body) <= ledger.settings.BatchBytes {
		return answer
	}
	return call.Answer{
		Status: http.StatusInternalServerError, ContentType: "text/plain",
		Body: fmt.Appendf(nil, "the order ran; its answer of %d bytes is too large to keep\n", len(answer.Body)),
	}
}
