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

// stepBooking is the name of this step of the request path in errors and decisions.
const stepBooking = "booking"

// Order is a request that must run at most once.
type Order struct {
	Key booking.Key
	// BodyHash distinguishes a retry from a different request with the same key.
	BodyHash string
	// ByKey reports that the service itself deduplicates requests by key.
	ByKey bool
	// Deadline is the time after which the caller no longer waits for the answer.
	Deadline time.Time
	// Request is the original request, with which a shard's leader can execute the order.
	Request call.Request
}

// Result is the result of an order: an answer, or a refusal or failure as the error.
type Result struct {
	Answer call.Answer
	Err    error
}

// Sender sends one order, and status calls about it, to the service.
type Sender interface {
	// Send sends the order to the service. Its error is a [*call.Refusal] or a
	// [*call.Failure] with [call.RanNo] only if the order certainly did not run.
	Send(ctx context.Context) (call.Answer, error)
	// Status queries the service for the state of the order's key.
	Status(ctx context.Context) (Status, error)
}

// ForwardOutcome is the outcome of forwarding an order to its shard's leader.
type ForwardOutcome string

// The outcomes of forwarding an order.
const (
	// ForwardAnswered means that the leader has returned a result.
	ForwardAnswered ForwardOutcome = "Answered"
	// ForwardNotAccepted means that no other entry has accepted the order, for example because this
	// entry is the leader.
	ForwardNotAccepted ForwardOutcome = "NotTaken"
	// ForwardUncertain means that the leader may have received the order and may still execute it.
	ForwardUncertain ForwardOutcome = "Unsure"
)

// Execute executes the order at most once, or returns the recorded answer of its earlier execution.
//
// Its error is a [*call.Refusal] or a [*call.Failure] with [call.RanNo] only if
// this call did not run the order and will not run it later.
func (ledger *Ledger) Execute(ctx context.Context, order Order, sender Sender) (call.Answer, error) {
	if record := ledger.writerOf(order.Key).state.Load().Record(order.Key); record.State == booking.StateDone && !record.Expired(time.Now(), ledger.settings.ShardSettings.Retention) {
		return recordedAnswer(record, order)
	}
	forwarding := ForwardNotAccepted
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
	answer, err := execution.run(ctx)
	if forwarding == ForwardUncertain {
		err = withUncertainLeader(err)
	}
	return answer, err
}

// withUncertainLeader turns a refusal by this entry into a failure with an unknown
// outcome, because the leader may still execute the order.
//
// A key conflict stays a refusal: it follows from the log, which the leader reads too.
func withUncertainLeader(err error) error {
	var refusal *call.Refusal
	if !errors.As(err, &refusal) || refusal.Reason == call.ReasonKeyConflict {
		return err
	}
	return &call.Failure{
		Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: stepBooking,
		Detail: "the leader of the shard may still run the order: " + refusal.Detail + "; repeat with the same key",
	}
}

// execution is the state of one order while this entry executes it; only the caller's goroutine uses it.
type execution struct {
	ledger *Ledger
	writer *writer
	order  Order
	sender Sender
	// intent is the order as passed to the decisions of package decide/booking.
	intent booking.Order
	// otherAttempt is the latest unresolved record of another attempt, absent if there was none.
	otherAttempt booking.Record
	// otherSince is the time in the other attempt's record, or the time when this entry first read
	// that record if that is earlier.
	otherSince time.Time
	// pollWait is the next wait before the other attempt is checked again.
	pollWait time.Duration
	// needsFreshState requests that the log is read before the next decision.
	needsFreshState bool
}

// run proposes the intent until a decision ends the order, or until ctx or the ledger ends.
func (execution *execution) run(ctx context.Context) (call.Answer, error) {
	attempt := execution.ledger.nextID()
	execution.intent = booking.Order{
		Key: execution.order.Key, BodyHash: execution.order.BodyHash, ByKey: execution.order.ByKey,
		Holder: execution.ledger.settings.HolderID, Attempt: attempt, IsUnsent: execution.ledger.isUnsent,
	}
	execution.pollWait = execution.ledger.settings.PollMin
	execution.ledger.openAttempt(attempt)
	for {
		decision, err := execution.proposeIntent(ctx)
		if err != nil {
			return call.Answer{}, execution.abandon(ctx, err)
		}
		switch decision.Verdict {
		case booking.VerdictSend:
			return execution.dispatch(ctx)
		case booking.VerdictReplay, booking.VerdictConflict, booking.VerdictFull:
			execution.ledger.closeAttempt(attempt)
			return finalResult(decision, execution.order)
		case booking.VerdictResolve:
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

// proposeIntent passes the intent to the shard's writer and waits for the decision.
func (execution *execution) proposeIntent(ctx context.Context) (booking.Decision, error) {
	intent := execution.intent
	return execution.ledger.propose(ctx, execution.writer, proposal{
		abandoned: ctx.Done(), needsFreshState: execution.needsFreshState, reply: make(chan booking.Decision, 1),
		decide: func(shard booking.Shard, now time.Time) booking.Decision { return shard.Decide(intent, now) },
	})
}

// propose passes a proposal to a shard's writer and waits for the decision, until ctx or the ledger ends.
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

// waitForAttempt waits before the next check of an order that another attempt has in progress.
//
// After the grace period, or when the attempt's process has ended, it returns at
// once and the next decision treats the other attempt as unknown.
func (execution *execution) waitForAttempt(ctx context.Context, record booking.Record) error {
	if record.Attempt != execution.otherAttempt.Attempt {
		// The grace period starts at the time in the record, so that it also ends for a
		// caller that retries with short timeouts. The local time bounds it, so that a
		// holder's clock that is ahead does not extend it. Correctness does not depend
		// on the grace period; it only saves status calls.
		execution.otherSince = time.Now()
		if record.At.Before(execution.otherSince) {
			execution.otherSince = record.At
		}
	}
	isOwn := record.Holder == execution.ledger.settings.HolderID
	execution.otherAttempt, execution.needsFreshState = record, !isOwn
	hasEnded := execution.ledger.leaders != nil && execution.ledger.leaders.HasEnded(record.Holder)
	if !isOwn && (hasEnded || time.Since(execution.otherSince) >= execution.ledger.settings.HolderGrace) {
		execution.intent = execution.intent.WithAbandoned(record)
		return ctx.Err()
	}
	if isOwn {
		// Checking an attempt of this process does not cost a call to the store.
		execution.pollWait = execution.ledger.settings.PollMin
	}
	return execution.waitBeforePoll(ctx)
}

func (execution *execution) waitBeforePoll(ctx context.Context) error {
	wait := execution.pollWait
	execution.pollWait = min(2*execution.pollWait, execution.ledger.settings.PollMax)
	return pause.For(ctx, wait)
}

// abandon ends an order that was not sent, withdraws its intent in case that was written, and
// returns the error for the caller.
//
// The attempt is never sent afterwards, because only this goroutine could send it.
func (execution *execution) abandon(ctx context.Context, cause error) error {
	execution.ledger.closeAttempt(execution.intent.Attempt)
	execution.ledger.proposeDetached(ctx, execution.writer, withdrawalProposal(execution.order.Key, execution.intent.Attempt), func() {})
	if execution.otherAttempt.Unresolved() {
		return unknownOutcome(execution.otherAttempt, "the outcome of another attempt with this key is not known; repeat with the same key")
	}
	if errors.Is(cause, errStopped) {
		return call.Refuse(call.ReasonStopping, "this entry is stopping; repeat with the same key").WithRetryAfter(time.Second)
	}
	return call.Refuse(call.ReasonStoreUnavailable, "this request could not be recorded in time (%v); repeat it with the same key", cause).WithRetryAfter(time.Second)
}

// proposeDetached passes a proposal to the writer in the background, even if ctx has ended.
//
// It calls done after the proposal is committed.
func (ledger *Ledger) proposeDetached(ctx context.Context, writer *writer, proposed proposal, done func()) {
	ctx = context.WithoutCancel(ctx)
	go func() {
		if _, err := ledger.propose(ctx, writer, proposed); err == nil {
			done()
		}
	}()
}

// finalResult converts a decision that ends an order into its answer or error.
func finalResult(decision booking.Decision, order Order) (call.Answer, error) {
	switch decision.Verdict {
	case booking.VerdictFull:
		return call.Answer{}, call.Refuse(call.ReasonOverLimit, "the shard has no room for more bookings").WithRetryAfter(time.Minute)
	default:
		return recordedAnswer(decision.Record, order)
	}
}

// recordedAnswer returns the answer of an earlier execution, or a refusal if the key was used for
// another request.
func recordedAnswer(record booking.Record, order Order) (call.Answer, error) {
	if record.BodyHash != order.BodyHash {
		return call.Answer{}, call.Refuse(call.ReasonKeyConflict, "the idempotency key was used for another request")
	}
	return record.Answer, nil
}

func unknownOutcome(record booking.Record, detail string) error {
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseTimeout, Step: stepBooking, Peer: record.Holder, Detail: detail}
}

// storableAnswer returns the answer, or a replacement if it is too large for the
// store, so that all callers with the same key receive the same answer.
func (ledger *Ledger) storableAnswer(answer call.Answer) call.Answer {
	if len(answer.Body) <= ledger.settings.BatchBytes {
		return answer
	}
	return call.Answer{
		Status: http.StatusInternalServerError, ContentType: "text/plain",
		Body: fmt.Appendf(nil, "the order ran; its answer of %d bytes is too large to keep\n", len(answer.Body)),
	}
}
