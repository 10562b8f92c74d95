package call

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Ran reports whether failed work may have run and thus taken effect.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "NotRun"
	RanYes     Ran = "Run"
	RanUnknown Ran = "Unknown"
)

// Cause is the kind of a failure, which determines how the failure is handled.
type Cause string

// The causes of failure at a backend server.
const (
	CauseConnect   Cause = "Connect"
	CauseReset     Cause = "Reset"
	CauseTimeout   Cause = "Timeout"
	CauseStalled   Cause = "Stalled"
	CauseBusy      Cause = "Busy"
	CauseStatus    Cause = "Status"
	CauseCancelled Cause = "Cancelled"
	CauseMalformed Cause = "Malformed"
	// CauseIncomplete is for an answer that its server ended in order, but that is not complete.
	CauseIncomplete Cause = "Incomplete"
	// CauseLeaving is for work that the entry moves away from a server that is leaving.
	CauseLeaving Cause = "Leaving"
	// CauseSlowed is for work that the entry moves away from a server that has become slow.
	CauseSlowed Cause = "Slowed"
)

// ErrMalformed means that a server wrote bytes that are no answer or no part of one. The end of a connection inside an answer is
// another error, since it may mean that the server has crashed.
var ErrMalformed = errors.New("malformed answer")

// Failure is the error of work that was sent to a backend server, or could not be sent.
type Failure struct {
	Ran   Ran
	Cause Cause
	// Step is the step of the request path in which the failure occurred.
	Step string
	// Peer is the name of the backend server, or for a booking the incarnation of the entry that sends the order. It is empty if
	// the failure concerns none.
	Peer string
	// Detail describes the failure for people.
	Detail string
}

// Error returns the step, peer, cause and detail of the failure, and whether the work ran. A step or peer that is not set is left out.
func (failure *Failure) Error() string {
	text := fmt.Sprintf("%s (%s): %s", failure.Cause, failure.Ran, failure.Detail)
	if where := strings.TrimSpace(failure.Step + " " + failure.Peer); where != "" {
		return where + ": " + text
	}
	return text
}

// WithPeer returns the failure with the name of the backend server.
func (failure Failure) WithPeer(peer string) *Failure {
	failure.Peer = peer
	return &failure
}

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	ReasonMalformed        Reason = "Malformed"
	ReasonUnauthenticated  Reason = "Unauthenticated"
	ReasonUnknownService   Reason = "UnknownService"
	ReasonOverLimit        Reason = "OverLimit"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonDeadline         Reason = "Deadline"
	ReasonNoBackend        Reason = "NoBackend"
	ReasonQuarantined      Reason = "Quarantined"
	ReasonKeyMissing       Reason = "KeyMissing"
	ReasonKeyConflict      Reason = "KeyConflict"
	ReasonStopping         Reason = "Stopping"
	ReasonStoreUnavailable Reason = "StoreOut"
	ReasonStarting         Reason = "Starting"
	ReasonUnknownRoute     Reason = "UnknownRoute"
	ReasonTooLarge         Reason = "TooLarge"
)

// Refusal is the error of a request that certainly did not run.
type Refusal struct {
	Reason Reason
	Detail string
	// Step is the step of the request path that refused the request, empty if it is not known.
	Step string
	// RetryAfter is the time after which a retry may succeed, 0 if a retry will not succeed.
	RetryAfter time.Duration
}

// Error returns the reason and the detail of the refusal.
func (refusal *Refusal) Error() string {
	return fmt.Sprintf("refused, not run: %s: %s", refusal.Reason, refusal.Detail)
}

// Refuse returns a refusal with a formatted detail and without RetryAfter.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns the refusal with the time after which a retry may succeed.
func (refusal Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	refusal.RetryAfter = wait
	return &refusal
}

// WithStep returns the refusal with the step that refused the request.
func (refusal Refusal) WithStep(step string) *Refusal {
	refusal.Step = step
	return &refusal
}
