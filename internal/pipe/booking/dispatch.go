package booking

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// dispatch sends the order, whose intent is committed, and commits the outcome.
//
// The order is sent even if its caller has disconnected, so that its outcome is
// recorded rather than unknown. The caller receives an answer only after it is
// committed, because another entry might otherwise return a different answer.
func (execution *execution) dispatch(ctx context.Context) (call.Answer, error) {
	// After a pause of the process, the deadline may have passed before the timer of ctx fires.
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

// committedOutcome returns the committed outcome, and resolves an unknown one by a status call first.
//
// A service that deduplicates by key gets no status call, because the caller's
// retry sends the order again. Without a recorded answer, it returns the error of
// the dispatch (sendErr), or a failure which proves that the order did not run.
func (execution *execution) committedOutcome(ctx context.Context, record booking.Record, sendErr error) (call.Answer, error) {
	for record.State == booking.StateUnknown && !execution.order.ByKey {
		result, ended := execution.resolve(ctx, record)
		var failure *call.Failure
		if ended && errors.As(result.Err, &failure) && failure.Ran == call.RanNo {
			return call.Answer{}, result.Err
		}
		if ended {
			return call.Answer{}, sendErr
		}
		record = execution.writer.state.Load().Record(execution.order.Key)
	}
	if record.State == booking.StateDone && record.BodyHash == execution.order.BodyHash {
		return record.Answer, nil
	}
	return call.Answer{}, sendErr
}

// outcomeChange returns the change that records the result of a dispatch.
//
// Only a refusal, or a failure with [call.RanNo], proves that the order did not run.
func (execution *execution) outcomeChange(answer call.Answer, err error) booking.Change {
	change := booking.Change{Key: execution.order.Key, Attempt: execution.intent.Attempt}
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case err == nil:
		answer = execution.ledger.storableAnswer(answer)
		change.State, change.Answer = booking.StateDone, &answer
	case errors.As(err, &refusal), errors.As(err, &failure) && failure.Ran == call.RanNo:
		change.State = booking.StateRefused
	default:
		change.State = booking.StateUnknown
	}
	return change
}
