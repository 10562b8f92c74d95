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

// Forwarding is what became of an order that was passed to its shard's leader.
type Forwarding string

// The outcomes of passing an order on.
const (
	// ForwardAnswered means that the leader's answer is there.
	ForwardAnswered Forwarding = "Answered"
	// ForwardNotTaken means that no other entry has the order, also when this entry leads.
	ForwardNotTaken Forwarding = "NotTaken"
	// ForwardUnsure means that the leader may have the order, and may still run it.
	ForwardUnsure Forwarding = "Unsure"
)

// Do runs the order at most once, or gives the answer of the time that it ran.
func (ledger *Ledger) Do(ctx context.Context, order Order, sender Sender) (call.Answer, error) {
	if record := ledger.writerOf(order.Key).state.Load().Record(order.Key); record.State == booking.StateDone && !record.Expired(time.Now(), ledger.settings.Keep.Retention) {
		return recordedAnswer(record, order)
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
	execution := &execution{ledger: ledger, writer: ledger.writerOf(order.Key), order: order, sender: sender}
	answer, err := execution.do(ctx)
	if forwarding == ForwardUnsure {
		err = withUncertainLeader(err)
	}
	return answer, err
}

// withUncertainLeader returns the error of an order that the leader may still run: a refusal here says nothing of the leader.
//
// Another request under the same key is refused by the log, which holds for the leader too.
func withUncertainLeader(err error) error {
	var refusal *call.Refusal
	if !errors.As(err, &refusal) || refusal.Reason == call.ReasonKeyConflict {
		return err
	}
	return &call.Failure{
		Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: stepBooking,
		Detail: "the leader of the shard may run it: " + refusal.Detail + "; repeat with the same key",
	}
}

// execution is the course of one order at this entry; it belongs to the caller's goroutine.
type execution struct {
	ledger *Ledger
	writer *writer
	order  Order
	sender Sender
	// intent is the order as it is decided on.
	intent booking.Order
	// otherAttempt is the newest unsettled record of another attempt, absent if there was none.
	otherAttempt booking.Record
	// otherSince is when the other attempt was recorded, no later than this entry saw it.
	otherSince time.Time
	pollWait  time.Duration
	needsFreshState bool
}

func (execution *execution) do(ctx context.Context) (call.Answer, error) {
	attempt := execution.ledger.nextID()
	execution.intent = booking.Order{
		Key: execution.order.Key, BodyHash: execution.order.BodyHash, ByKey: execution.order.ByKey,
		Holder: execution.ledger.settings.Holder, Attempt: attempt, OwnUnsent: execution.ledger.isUnsent,
	}
	execution.pollWait = execution.ledger.settings.PollMin
	execution.ledger.openAttempt(attempt)
	for {
		decision, err := execution.propose(ctx)
		if err != nil {
			return call.Answer{}, execution.abandon(ctx, err)
		}
		switch decision.Verdict {
		case booking.VerdictSend:
			return execution.dispatch(ctx)
		case booking.VerdictRepeat, booking.VerdictConflict, booking.VerdictFull:
			execution.ledger.closeAttempt(attempt)
			return finalResult(decision, execution.order)
		case booking.VerdictSettle:
			if result, ended := execution.resolve(ctx, decision.Record); ended {
				execution.ledger.closeAttempt(attempt)
				return result.Answer, result.Err
			}
		case booking.VerdictWait:
			if err := execution.waitForAttempt(ctx, decision.Record); err != nil {
				return call.Answer{}, execution.abandon(ctx, err)
			}
		}
	}
}

// propose passes the order to the shard's writer and waits for the decision.
func (execution *execution) propose(ctx context.Context) (booking.Decision, error) {
	intent := execution.intent
	return execution.ledger.propose(ctx, execution.writer, proposal{
		abandoned: ctx.Done(), needsFreshState: execution.needsFreshState, reply: make(chan booking.Decision, 1),
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

// waitForAttempt waits before the next look at an order that another attempt holds.
func (execution *execution) waitForAttempt(ctx context.Context, record booking.Record) error {
	if record.Attempt != execution.otherAttempt.Attempt {
		// The record's own time counts, so that short requests that repeat one after
		// another see the grace pass; a clock that is ahead does not lengthen it. The
		// grace keeps nothing safe, it only spares status calls.
		execution.otherSince = time.Now()
		if record.At.Before(execution.otherSince) {
			execution.otherSince = record.At
		}
	}
	own := record.Holder == execution.ledger.settings.Holder
	execution.otherAttempt, execution.needsFreshState = record, !own
	gone := execution.ledger.leaders != nil && execution.ledger.leaders.Gone(record.Holder)
	if !own && (gone || time.Since(execution.otherSince) >= execution.ledger.settings.HolderGrace) {
		execution.intent = execution.intent.WithGone(record)
		return ctx.Err()
	}
	if own {
		// Looking at this entry's own state costs the store nothing.
		execution.pollWait = execution.ledger.settings.PollMin
	}
	return execution.waitBeforePoll(ctx)
}

func (execution *execution) waitBeforePoll(ctx context.Context) error {
	wait := execution.pollWait
	execution.pollWait = min(2*execution.pollWait, execution.ledger.settings.PollMax)
	return pause.For(ctx, wait)
}

// abandon ends an order that was not sent, and withdraws its intent in case it was written.
//
// From here on nobody sends the attempt: this goroutine alone could have.
func (execution *execution) abandon(ctx context.Context, cause error) error {
	execution.ledger.closeAttempt(execution.intent.Attempt)
	execution.ledger.proposeDetached(ctx, execution.writer, withdrawalProposal(execution.order.Key, execution.intent.Attempt), func() {})
	if execution.otherAttempt.Unsettled() {
		return unknownOutcome(execution.otherAttempt, "another attempt with this key is not settled; repeat with the same key")
	}
	if errors.Is(cause, errStopped) {
		return call.Refuse(call.ReasonStopping, "this entry is stopping; repeat with the same key").WithRetryAfter(time.Second)
	}
	return call.Refuse(call.ReasonStoreOut, "this request could not be recorded in time (%v); repeat it with the same key", cause).WithRetryAfter(time.Second)
}

// proposeDetached passes a proposal to the writer even if ctx has ended, and calls done after its commit.
func (ledger *Ledger) proposeDetached(ctx context.Context, writer *writer, proposed proposal, done func()) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		if _, err := ledger.propose(ctx, writer, proposed); err == nil {
			done()
		}
	}()
}

// finalResult turns a decision that ends an order into its answer or error.
func finalResult(decision booking.Decision, order Order) (call.Answer, error) {
	switch decision.Verdict {
	case booking.VerdictFull:
		return call.Answer{}, call.Refuse(call.ReasonOverLimit, "no room for more bookings").WithRetryAfter(time.Minute)
	default:
		return recordedAnswer(decision.Record, order)
	}
}

func recordedAnswer(record booking.Record, order Order) (call.Answer, error) {
	if record.BodyHash != order.BodyHash {
		return call.Answer{}, call.Refuse(call.ReasonKeyConflict, "the idempotency key was used for another request")
	}
	return record.Answer, nil
}

func unknownOutcome(record booking.Record, detail string) error {
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: stepBooking, Peer: record.Holder, Detail: detail}
}

// storableAnswer returns the answer, or one that stands for it if it is too large for the
// store, so that all callers get the same.
func (ledger *Ledger) storableAnswer(answer call.Answer) call.Answer {
	if len(answer.Body) <= ledger.settings.GroupBytes {
		return answer
	}
	return call.Answer{
		Status: http.StatusInternalServerError, ContentType: "text/plain",
		Body: fmt.Appendf(nil, "the order ran; its answer of %d bytes is too large to keep\n", len(answer.Body)),
	}
}
