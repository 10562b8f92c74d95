package order

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// Progress is what the holder of a fencing number knows of one backend server.
type Progress struct {
	// configured is the server as configured, and server as it proved to be.
	configured, effective Server

	number int64
	// granted is when the holder got the number.
	granted time.Time
	timing  Timing
	// quietUntil is the time before which nothing may be sent or read.
	quietUntil time.Time
	// state was read at readAt; it is nil when it must be read before the next order.
	state  *State
	readAt time.Time
	stale  bool
	// accepted is the last order that the server took on, at doneAt.
	accepted   Order
	acceptedAt time.Time
	// fenced reports that the server took on an order under the number.
	fenced bool
}

// Step is what to do about a backend server next.
type Step struct {
	Kind StepKind
	// Order is set for [StepSend].
	Order Order
	// Want is what the order loads, if it does.
	Want Want
	// Until is set for [StepWait].
	Until time.Time
}

// StepKind names a kind of step.
type StepKind string

// The kinds of steps.
const (
	StepWait StepKind = "Wait"
	StepRead StepKind = "Read"
	StepSend StepKind = "Send"
	// StepStop is for a holder that has been replaced.
	StepStop StepKind = "Stop"
)

// NewProgress returns the progress of a holder that got the number at the given time.
func NewProgress(server Server, number int64, granted time.Time, timing Timing) Progress {
	progress := Progress{configured: server, effective: server, number: number, granted: granted, timing: timing, quietUntil: granted}
	if !server.EnforcesFencing() {
		progress.quietUntil = granted.Add(timing.Lease + timing.Longest)
	}
	return progress
}

// Next returns the step that leads to the desired state.
func (progress Progress) Next(desired Desired, now time.Time) Step {
	switch {
	case progress.stale:
		return Step{Kind: StepStop}
	case now.Before(progress.quietUntil):
		return Step{Kind: StepWait, Until: progress.quietUntil}
	case progress.state == nil || !now.Before(progress.readAt.Add(progress.timing.Verify)):
		return Step{Kind: StepRead}
	case progress.effective.EnforcesFencing() && progress.state.Fencing < progress.number:
		return progress.send(progress.fencingOrder(desired), Want{}, now)
	}
	if order, want, ok := nextOrder(desired, *progress.state); ok {
		return progress.send(order, want, now)
	}
	return Step{Kind: StepWait, Until: progress.readAt.Add(progress.timing.Verify)}
}

// Settled reports whether the state that was read last is the desired one, under the holder's number.
func (progress Progress) Settled(desired Desired) bool {
	if progress.state == nil || progress.effective.EnforcesFencing() && progress.state.Fencing != progress.number {
		return false
	}
	return progress.state.Meets(desired)
}

// WithState returns the progress after the server's state was read.
//
// A server that has taken on an order under the number and does not report it is
// treated as one that ignores numbers, whatever its description says.
func (progress Progress) WithState(state State, now time.Time) Progress {
	progress.state, progress.readAt = &state, now
	if !progress.effective.EnforcesFencing() {
		return progress
	}
	progress.stale = progress.stale || state.Fencing > progress.number
	if progress.fenced && state.Fencing < progress.number {
		progress.effective.Fencing = config.FencingIgnores
		progress.quietUntil = NewProgress(progress.effective, progress.number, progress.granted, progress.timing).quietUntil
		progress.state = nil
	}
	return progress
}

// WithReadFailure returns the progress after the server's state could not be read.
func (progress Progress) WithReadFailure(now time.Time) Progress {
	progress.state, progress.quietUntil = nil, now.Add(progress.timing.Retry)
	return progress
}

// WithOutcome returns the progress after an order was sent; what it did is read back next.
func (progress Progress) WithOutcome(order Order, outcome Outcome, now time.Time) Progress {
	progress.state = nil
	switch outcome {
	case OutcomeDone:
		progress.accepted, progress.acceptedAt, progress.fenced = order, now, true
	case OutcomeStale:
		progress.stale = true
	case OutcomeNotSent:
		progress.quietUntil = now.Add(progress.timing.Retry)
	default:
		progress.quietUntil = now.Add(progress.timing.Longest)
	}
	return progress
}

// WithServer returns the progress for a changed description of the server, whose state must be read anew.
func (progress Progress) WithServer(server Server) Progress {
	if server == progress.configured {
		return progress
	}
	next := NewProgress(server, progress.number, progress.granted, progress.timing)
	if next.quietUntil.Before(progress.quietUntil) {
		next.quietUntil = progress.quietUntil
	}
	return next
}

// send waits before an order that was taken on is sent again, when reading back did not show it.
func (progress Progress) send(order Order, want Want, now time.Time) Step {
	if again := progress.acceptedAt.Add(progress.timing.Retry); order == progress.accepted && now.Before(again) {
		return Step{Kind: StepWait, Until: again}
	}
	return Step{Kind: StepSend, Order: order, Want: want}
}

// fencingOrder restates the role, which changes nothing but the fencing number.
func (progress Progress) fencingOrder(desired Desired) Order {
	if desired.Role != "" {
		return Order{Kind: KindRole, Role: desired.Role}
	}
	return Order{Kind: KindRole, Role: progress.state.Role}
}
