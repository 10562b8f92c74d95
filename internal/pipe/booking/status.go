package booking

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StatusState is the state of an idempotency key as reported by the service.
type StatusState string

// The states that a service may report.
const (
	// StatusDone means that the order ran; its answer comes with the status.
	StatusDone StatusState = "Done"
	// StatusClosed means that the order did not run and that the service will never run it.
	StatusClosed StatusState = "Closed"
	// StatusPending means that the order is running or has not been received. An order
	// that has not been received may still be in transit, so this proves nothing.
	StatusPending StatusState = "Open"
	// StatusUnsupported means that the service does not support status calls.
	StatusUnsupported StatusState = "None"
)

// Status is a service's response to a status call.
type Status struct {
	State StatusState
	// Answer is the order's answer, set with [StatusDone] only.
	Answer call.Answer
}

// resolve sends a status call for an order with an unknown outcome and commits the reported outcome.
//
// The result ended is false if the order has to be decided again.
func (execution *execution) resolve(ctx context.Context, record booking.Record) (result Result, ended bool) {
	execution.otherAttempt, execution.needsFreshState = record, true
	status, err := execution.sender.Status(ctx)
	if err != nil {
		status.State = StatusPending
	}
	change := booking.Change{Key: execution.order.Key, Attempt: record.Attempt, Settled: true}
	switch status.State {
	case StatusUnsupported:
		return Result{Err: unknownOutcome(record, "the outcome is unknown and the service has no status call")}, true
	case StatusDone:
		answer := execution.ledger.storableAnswer(status.Answer)
		change.State, change.Answer = booking.StateDone, &answer
	case StatusClosed:
		change.State = booking.StateRefused
	default:
		if execution.waitBeforePoll(ctx) != nil {
			return Result{Err: unknownOutcome(record, "the service reported no outcome before the deadline")}, true
		}
		return Result{}, false
	}
	return execution.commitStatus(ctx, record, change)
}

// commitStatus commits the outcome that the service reported. Its results are those of resolve.
func (execution *execution) commitStatus(ctx context.Context, record booking.Record, change booking.Change) (result Result, ended bool) {
	proposed := outcomeProposal(change)
	proposed.abandoned = ctx.Done()
	decision, err := execution.ledger.propose(ctx, execution.writer, proposed)
	if err != nil {
		return Result{Err: unknownOutcome(record, "the outcome that the service reported could not be recorded before the deadline")}, true
	}
	if decision.Record.State == booking.StateRefused {
		return Result{Err: &call.Failure{
			Ran: call.RanNo, Cause: call.CauseStatus, Step: stepBooking,
			Detail: "the service closed the order without running it",
		}}, true
	}
	execution.otherAttempt = booking.Record{}
	return Result{}, false
}
