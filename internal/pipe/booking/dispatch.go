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
func (run *execution) dispatch(ctx context.Context) (call.Answer, error) {
	// After a pause, the clock may show the deadline before the timer of ctx has fired.
	if deadline, _ := ctx.Deadline(); ctx.Err() != nil || !time.Now().Before(deadline) {
		return call.Answer{}, run.abandon(ctx, context.DeadlineExceeded)
	}
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), run.order.Deadline)
	defer cancel()
	answer, err := run.sender.Send(sendCtx)
	change := run.outcomeChange(answer, err)
	proposed := outcomeProposal(change)
	committed := make(chan booking.Record, 1)
	run.ledger.proposeDetached(ctx, run.writer, proposed, func() {
		run.ledger.closeAttempt(run.intent.Attempt)
		committed <- run.writer.state.Load().Record(run.order.Key)
	})
	select {
	case record := <-committed:
		return run.committedOutcome(ctx, record, err)
	case <-sendCtx.Done():
	case <-run.ledger.stopped:
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
func (run *execution) committedOutcome(ctx context.Context, record booking.Record, failed error) (call.Answer, error) {
	for record.State == booking.StateUnknown && !run.order.ByKey {
		result, ended := run.resolve(ctx, record)
		var failure *call.Failure
		if ended && errors.As(result.Err, &failure) && failure.Ran == call.RanNot {
			return call.Answer{}, result.Err
		}
		if ended {
			return call.Answer{}, failed
		}
		record = run.writer.state.Load().Record(run.order.Key)
	}
	if record.State == booking.StateDone && record.BodyHash == run.order.BodyHash {
		return record.Answer, nil
	}
	return call.Answer{}, failed
}

// outcomeChange states what the end of a dispatch says about the order.
func (run *execution) outcomeChange(answer call.Answer, err error) booking.Change {
	change := booking.Change{Key: run.order.Key, Attempt: run.intent.Attempt}
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case err == nil:
		answer = run.ledger.storableAnswer(answer)
		change.State, change.Answer = booking.StateDone, &answer
	case errors.As(err, &refusal), errors.As(err, &failure) && failure.Ran == call.RanNot:
		change.State = booking.StateRefused
	default:
		change.State = booking.StateUnknown
	}
	return change
}
