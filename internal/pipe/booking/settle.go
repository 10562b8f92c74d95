package booking

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StatusState is what a service says about a key.
type StatusState string

// The states that a service may report.
const (
	// StatusDone means that the order ran; its answer comes with the status.
	StatusDone StatusState = "Done"
	// StatusClosed means that the order did not run and that the service will not run it.
	StatusClosed StatusState = "Closed"
	// StatusPending means that the order is running or was not seen. An order that
	// was not seen may still be on its way, so it proves nothing.
	StatusPending StatusState = "Open"
	// StatusNone means that the service has no status call.
	StatusNone StatusState = "None"
)

// Status is a service's answer to a status call.
type Status struct {
	State  StatusState
	Answer call.Answer
}

// settle asks the service about an order of unknown outcome and commits what it says.
//
// Ended is false if the order is to be decided again.
func (run *run) settle(ctx context.Context, record booking.Record) (result Result, ended bool) {
	run.other, run.fresh = record, true
	status, err := run.sender.Status(ctx)
	if err != nil {
		status.State = StatusPending
	}
	change := booking.Change{Key: run.order.Key, Attempt: record.Attempt, Settled: true}
	switch status.State {
	case StatusNone:
		return Result{Err: unknown(record, "the service has no status call")}, true
	case StatusDone:
		answer := run.ledger.kept(status.Answer)
		change.State, change.Answer = booking.StateDone, &answer
	case StatusClosed:
		change.State = booking.StateRefused
	default:
		if run.poll(ctx) != nil {
			return Result{Err: unknown(record, "the service does not know the outcome yet")}, true
		}
		return Result{}, false
	}
	return run.record(ctx, record, change)
}

// record commits what the service said.
func (run *run) record(ctx context.Context, record booking.Record, change booking.Change) (result Result, ended bool) {
	proposed := outcome(change)
	proposed.dropped = ctx.Done()
	decision, err := run.ledger.propose(ctx, run.writer, proposed)
	if err != nil {
		return Result{Err: unknown(record, "the outcome could not be recorded in time")}, true
	}
	if decision.Record.State == booking.StateRefused {
		return Result{Err: &call.Failure{
			Ran: call.RanNot, Cause: call.CauseStatus, Step: stepBooking,
			Detail: "the service closed the order without running it",
		}}, true
	}
	run.other = booking.Record{}
	return Result{}, false
}
