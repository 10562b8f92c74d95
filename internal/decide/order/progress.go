package order

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// Progress is what the holder of a fencing number knows of one backend server.
type Progress struct {
	// described is the server as configured, and server as it proved to be.
	described, server Server

	number int64
	// granted is when the holder got the number.
	granted time.Time
	timing  Timing
	// quiet is the time before which nothing may be sent or read.
	quiet time.Time
	// state was read at readAt; it is nil when it must be read before the next order.
	state  *ServerState
	readAt time.Time
	stale  bool
	// done is the last order that the server took on, at doneAt.
	done   Order
	doneAt time.Time
	// claimed reports that the server took on an order under the number.
	claimed bool
}

// Step is what to do about a backend server next.
type Step struct {
	Kind StepKind
	// Order is set for [StepSend].
	Order Order
	// Load is what the order loads, if it does.
	Load DesiredWeights
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
	progress := Progress{described: server, server: server, number: number, granted: granted, timing: timing, quiet: granted}
	if !server.Refuses() {
		progress.quiet = granted.Add(timing.Lease + timing.MaxOrderTime)
	}
	return progress
}

// Next returns the step that leads to the desired state.
func (progress Progress) Next(desired Desired, now time.Time) Step {
	switch {
	case progress.stale:
		return Step{Kind: StepStop}
	case now.Before(progress.quiet):
		return Step{Kind: StepWait, Until: progress.quiet}
	case progress.state == nil || !now.Before(progress.readAt.Add(progress.timing.ReadInterval)):
		return Step{Kind: StepRead}
	case progress.server.Refuses() && progress.state.Fencing < progress.number:
		return progress.send(progress.claim(desired), DesiredWeights{}, now)
	}
	if order, want, ok := difference(desired, *progress.state); ok {
		return progress.send(order, want, now)
	}
	return Step{Kind: StepWait, Until: progress.readAt.Add(progress.timing.ReadInterval)}
}

// Converged reports whether the state that was read last is the desired one, under the holder's number.
func (progress Progress) Converged(desired Desired) bool {
	if progress.state == nil || progress.server.Refuses() && progress.state.Fencing != progress.number {
		return false
	}
	return progress.state.Meets(desired)
}

// WithState returns the progress after the server's state was read.
//
// A server that has taken on an order under the number and does not report it is
// treated as one that ignores numbers, whatever its description says.
func (progress Progress) WithState(state ServerState, now time.Time) Progress {
	progress.state, progress.readAt = &state, now
	if !progress.server.Refuses() {
		return progress
	}
	progress.stale = progress.stale || state.Fencing > progress.number
	if progress.claimed && state.Fencing < progress.number {
		progress.server.Fencing = config.FencingIgnores
		progress.quiet = NewProgress(progress.server, progress.number, progress.granted, progress.timing).quiet
		progress.state = nil
	}
	return progress
}

// WithUnread returns the progress after the server's state could not be read.
func (progress Progress) WithUnread(now time.Time) Progress {
	progress.state, progress.quiet = nil, now.Add(progress.timing.Retry)
	return progress
}

// WithOutcome returns the progress after an order was sent; what it did is read back next.
func (progress Progress) WithOutcome(order Order, outcome Outcome, now time.Time) Progress {
	progress.state = nil
	switch outcome {
	case OutcomeDone:
		progress.done, progress.doneAt, progress.claimed = order, now, true
	case OutcomeStale:
		progress.stale = true
	case OutcomeNotSent:
		progress.quiet = now.Add(progress.timing.Retry)
	default:
		progress.quiet = now.Add(progress.timing.MaxOrderTime)
	}
	return progress
}

// WithServer returns the progress for a changed description of the server, whose state must be read anew.
func (progress Progress) WithServer(server Server) Progress {
	if server == progress.described {
		return progress
	}
	next := NewProgress(server, progress.number, progress.granted, progress.timing)
	if next.quiet.Before(progress.quiet) {
		next.quiet = progress.quiet
	}
	return next
}

// send waits before an order that was taken on is sent again, when reading back did not show it.
func (progress Progress) send(order Order, want DesiredWeights, now time.Time) Step {
	if again := progress.doneAt.Add(progress.timing.Retry); order == progress.done && now.Before(again) {
		return Step{Kind: StepWait, Until: again}
	}
	return Step{Kind: StepSend, Order: order, Load: want}
}

// claim restates the role, which changes nothing but the fencing number.
func (progress Progress) claim(desired Desired) Order {
	if desired.Role != "" {
		return Order{Kind: KindRole, Role: desired.Role}
	}
	return Order{Kind: KindRole, Role: progress.state.Role}
}
