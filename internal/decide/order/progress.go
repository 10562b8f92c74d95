package order

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// Progress is the view that a leader has of one backend server.
type Progress struct {
	// configured is the server as configured; effective is the server as observed, which
	// differs if the server ignores fencing numbers although it is configured to enforce them.
	configured, effective Server

	// fencingNumber is that of the leader.
	fencingNumber int64
	// grantedAt is the time at which the leader was granted its fencing number.
	grantedAt time.Time
	timing    Timing
	// quietUntil is the time before which the server is neither read nor sent an order.
	quietUntil time.Time
	// state was read at readAt; nil if it must be read before the next order.
	state  *ServerState
	readAt time.Time
	// stale reports that a later leader has replaced this one.
	stale bool
	// lastAccepted is the last order that the server accepted, at lastAcceptedAt.
	lastAccepted   Order
	lastAcceptedAt time.Time
	// fenced reports that the server accepted an order with the leader's fencing number.
	fenced bool
}

// Step is the next step for a backend server.
type Step struct {
	Kind StepKind
	// Order is set for [StepSend].
	Order Order
	// Load describes the weights that the order loads; zero for other orders.
	Load DesiredWeights
	// Until is set for [StepWait].
	Until time.Time
}

// StepKind is the kind of a step.
type StepKind string

// The kinds of steps.
const (
	StepWait StepKind = "Wait"
	StepRead StepKind = "Read"
	StepSend StepKind = "Send"
	// StepStop means that a later leader has replaced this one.
	StepStop StepKind = "Stop"
)

// NewProgress returns the progress of a leader that was granted its fencing number at the given time.
func NewProgress(server Server, fencingNumber int64, grantedAt time.Time, timing Timing) Progress {
	progress := Progress{configured: server, effective: server, fencingNumber: fencingNumber, grantedAt: grantedAt, timing: timing, quietUntil: grantedAt}
	if !server.EnforcesFencing() {
		progress.quietUntil = grantedAt.Add(timing.Lease + timing.MaxOrderTime)
	}
	return progress
}

// Next returns the next step towards the desired state.
func (progress Progress) Next(desired Desired, now time.Time) Step {
	switch {
	case progress.stale:
		return Step{Kind: StepStop}
	case now.Before(progress.quietUntil):
		return Step{Kind: StepWait, Until: progress.quietUntil}
	case progress.state == nil || !now.Before(progress.readAt.Add(progress.timing.ReadInterval)):
		return Step{Kind: StepRead}
	case progress.effective.EnforcesFencing() && progress.state.FencingNumber < progress.fencingNumber:
		return progress.send(progress.fencingOrder(desired), DesiredWeights{}, now)
	}
	if order, load, ok := nextOrder(desired, *progress.state); ok {
		return progress.send(order, load, now)
	}
	return Step{Kind: StepWait, Until: progress.readAt.Add(progress.timing.ReadInterval)}
}

// Converged reports whether the state that was read last is the desired one and, if the
// server enforces fencing, carries the leader's fencing number.
func (progress Progress) Converged(desired Desired) bool {
	if progress.state == nil || progress.effective.EnforcesFencing() && progress.state.FencingNumber != progress.fencingNumber {
		return false
	}
	return progress.state.Meets(desired)
}

// WithState returns the progress after the server's state was read.
//
// A server that has accepted an order with the leader's fencing number but reports
// a lower one is treated as a server that ignores fencing numbers, even if it is
// configured otherwise.
func (progress Progress) WithState(state ServerState, now time.Time) Progress {
	progress.state, progress.readAt = &state, now
	if !progress.effective.EnforcesFencing() {
		return progress
	}
	progress.stale = progress.stale || state.FencingNumber > progress.fencingNumber
	if progress.fenced && state.FencingNumber < progress.fencingNumber {
		progress.effective.Fencing = config.FencingIgnores
		progress.quietUntil = NewProgress(progress.effective, progress.fencingNumber, progress.grantedAt, progress.timing).quietUntil
		progress.state = nil
	}
	return progress
}

// WithReadFailure returns the progress after reading the server's state failed.
func (progress Progress) WithReadFailure(now time.Time) Progress {
	progress.state, progress.quietUntil = nil, now.Add(progress.timing.RetryDelay)
	return progress
}

// WithOutcome returns the progress after an order was sent; the next step reads the state back.
func (progress Progress) WithOutcome(order Order, outcome Outcome, now time.Time) Progress {
	progress.state = nil
	switch outcome {
	case OutcomeDone:
		progress.lastAccepted, progress.lastAcceptedAt, progress.fenced = order, now, true
	case OutcomeStale:
		progress.stale = true
	case OutcomeNotSent:
		progress.quietUntil = now.Add(progress.timing.RetryDelay)
	default:
		progress.quietUntil = now.Add(progress.timing.MaxOrderTime)
	}
	return progress
}

// WithServer returns the progress after the server's configuration changed, which
// requires a new read of its state.
func (progress Progress) WithServer(server Server) Progress {
	if server == progress.configured {
		return progress
	}
	next := NewProgress(server, progress.fencingNumber, progress.grantedAt, progress.timing)
	if next.quietUntil.Before(progress.quietUntil) {
		next.quietUntil = progress.quietUntil
	}
	return next
}

// send returns the step that sends an order. If the server accepted the same order
// before but its state does not show the effect, the step waits for the retry delay first.
func (progress Progress) send(order Order, load DesiredWeights, now time.Time) Step {
	if resendAt := progress.lastAcceptedAt.Add(progress.timing.RetryDelay); order == progress.lastAccepted && now.Before(resendAt) {
		return Step{Kind: StepWait, Until: resendAt}
	}
	return Step{Kind: StepSend, Order: order, Load: load}
}

// fencingOrder returns an order that sets the role to its desired or current value, so
// that the server accepts the leader's fencing number.
func (progress Progress) fencingOrder(desired Desired) Order {
	if desired.Role != "" {
		return Order{Kind: KindRole, Role: desired.Role}
	}
	return Order{Kind: KindRole, Role: progress.state.Role}
}
