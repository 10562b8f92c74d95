package booking

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// dispatch sends the order, whose intent is committed, and commits what came of it.
//
// The order is sent even if its caller has left, so that its outcome is recorded
// rather than unknown. The caller gets an answer only once it is committed,
// because another entry might otherwise give another one.
func (execution *execution) dispatch(ctx context.Context) (call.Answer, error) {
	// After a pause, the clock may show the deadline before the timer of ctx has fired.
	if deadline, _ := ctx.Deadline(); ctx.Err() != nil || !time.Now().Before(deadline) {
		return call.Answer{}, execution.abandon(ctx, context.DeadlineExceeded)
	}
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), execution.order.Deadline)
	defer cancel()
	answer, err := execution.sender.Send(sendCtx)
	change := execution.outcomeChange(answer, err)
	proposed := outcomeProposal(change)
	committed := make(chan booking.Record, 1)
	execution.ledger.proposeDetached(ctx, execution.writer, proposed, func() {
		execution.ledger.closeAttempt(execution.intent.Attempt)
		committed <- execution.writer.state.Load().Record(execution.order.Key)
	})
	select {
	case record := <-committed:
		return execution.committedOutcome(ctx, record, err)
	case <-sendCtx.Done():
	case <-execution.ledger.stopped:
	}
	if err != nil {
		return call.Answer{}, err
	}
	return call.Answer{}, &call.Failure{
		Ran: call.RanYes, Cause: call.CauseTimeout, Step: stepBooking,
		Detail: "the order ran but its answer is not recorded yet; repeat with the same key",
	}
}

// committedOutcome returns the committed outcome, after asking the service about an unknown one.
//
// A service that drops repeats is not asked: the caller's repeat sends the order again.
func (execution *execution) committedOutcome(ctx context.Context, record booking.Record, failed error) (call.Answer, error) {
	for record.State == booking.StateUnknown && !execution.order.ByKey {
		result, ended := execution.resolve(ctx, record)
		var failure *call.Failure
		if ended && errors.As(result.Err, &failure) && failure.Ran == call.RanNot {
			return call.Answer{}, result.Err
		}
		if ended {
			return call.Answer{}, failed
		}
		record = execution.writer.state.Load().Record(execution.order.Key)
	}
	if record.State == booking.StateDone && record.BodyHash == execution.order.BodyHash {
		return record.Answer, nil
	}
	return call.Answer{}, failed
}

// outcomeChange states what the end of a dispatch says about the order.
func (execution *execution) outcomeChange(answer call.Answer, err error) booking.Change {
	change := booking.Change{Key: execution.order.Key, Attempt: execution.intent.Attempt}
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case err == nil:
		answer = execution.ledger.storableAnswer(answer)
		change.State, change.Answer = booking.StateDone, &answer
	case errors.As(err, &refusal), errors.As(err, &failure) && failure.Ran == call.RanNot:
		change.State = booking.StateRefused
	default:
		change.State = booking.StateUnknown
	}
	return change
}
