package booking

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// State is the state of a booking.
type State string

// The states of a booking.
const (
	StateAbsent  State = "Absent"
	StateIntent  State = "Intent"
	StateDone    State = "Done"
	StateRefused State = "Refused"
	StateUnknown State = "Unknown"
)

// Key identifies a booking; keys are the same at all entries.
type Key struct {
	Account        string
	IdempotencyKey string
}

// Record is the state of one booking with its latest attempt and its answer.
type Record struct {
	Key Key
	// BodyHash distinguishes orders with the same key and different bodies.
	BodyHash string
	State    State
	// Holder is the incarnation of the entry that may send the latest attempt.
	Holder string
	// Attempt is the attempt id of the latest intent.
	Attempt string
	// Attempts counts the intents that may have been sent since the order was last
	// certain not to have run.
	Attempts int
	Answer   call.Answer
	// At is the time of the last state change, by the clock of the entry that made it.
	At time.Time
	// LastEntry is the number of the log entry with the last change.
	LastEntry int64
	// FirstEntry is the number of the oldest log entry from which the record is derived.
	FirstEntry int64
}

// Change is one state change of a booking, as encoded in a log entry.
type Change struct {
	Key      Key
	BodyHash string `json:",omitempty"`
	State    State
	Holder   string `json:",omitempty"`
	Attempt  string
	// Attempts is set only if an unresolved record is written again before truncation.
	Attempts int `json:",omitempty"`
	// Settled marks an outcome reported by the service itself, which covers all attempts.
	Settled bool         `json:",omitempty"`
	Answer  *call.Answer `json:",omitempty"`
	At      time.Time
}

// Unresolved reports whether the order may have run and its outcome is not recorded.
func (record Record) Unresolved() bool {
	return record.State == StateIntent || record.State == StateUnknown
}

// Expired reports whether the record is older than retention; unresolved records do not expire.
func (record Record) Expired(now time.Time, retention time.Duration) bool {
	return !record.Unresolved() && now.Sub(record.At) >= retention
}

// CarryForward returns the change that writes an unresolved record to the log again,
// so that its earlier log entries can be truncated.
func (record Record) CarryForward() Change {
	return Change{
		Key: record.Key, BodyHash: record.BodyHash, State: record.State, Holder: record.Holder,
		Attempt: record.Attempt, Attempts: record.Attempts, At: record.At,
	}
}

// WithChange returns the record after the change in the log entry with that number, or
// false if the change does not apply in the record's state.
func (record Record) WithChange(change Change, number int64, retention time.Duration) (Record, bool) {
	if change.Attempts > 0 {
		return record.withCarriedForward(change, number)
	}
	if record.Expired(change.At, retention) {
		record = Record{State: StateAbsent}
	}
	trigger, ok := record.trigger(change)
	if !ok {
		return record, false
	}
	state, ok := Next(record.State, trigger)
	if !ok {
		return record, false
	}
	if trigger == TriggerCommit {
		record.FirstEntry = number
	}
	switch trigger {
	case TriggerCommit, TriggerResend:
		record.Key, record.BodyHash = change.Key, change.BodyHash
		record.Holder, record.Attempt = change.Holder, change.Attempt
		record.Attempts++
	case TriggerReplace:
		record.Attempt = change.Attempt
	case TriggerFinish:
		record.Answer = *change.Answer
	case TriggerRefuse:
		record.Attempts = 0
	}
	record.State, record.At, record.LastEntry = state, change.At, number
	return record, true
}

// withCarriedForward returns the record as written again after its earlier entries, so that
// a reader that starts after the truncation finds it.
//
// It overrides any state that such a reader derived from the entries after the
// truncation alone, because it was written by compare-and-swap from the complete state.
func (record Record) withCarriedForward(change Change, number int64) (Record, bool) {
	return Record{
		Key: change.Key, BodyHash: change.BodyHash, State: change.State, Holder: change.Holder,
		Attempt: change.Attempt, Attempts: change.Attempts, At: change.At, LastEntry: number, FirstEntry: number,
	}, true
}

// trigger returns the trigger by which the change acts on the record, or false if the change does not apply.
func (record Record) trigger(change Change) (Trigger, bool) {
	isLatest := record.Attempt == change.Attempt
	switch change.State {
	case StateIntent:
		return record.intentTrigger(change)
	case StateDone:
		return TriggerFinish, change.Answer != nil
	case StateUnknown:
		return TriggerLose, isLatest
	case StateRefused:
		if change.Settled || (isLatest && record.Attempts <= 1) {
			return TriggerRefuse, true
		}
		// An earlier attempt may have run although this one did not.
		return TriggerLose, isLatest
	default:
		return "", false
	}
}

// intentTrigger returns the trigger by which an intent acts on the record, or false if it does not apply.
func (record Record) intentTrigger(change Change) (Trigger, bool) {
	switch record.State {
	case StateUnknown:
		return TriggerResend, record.BodyHash == change.BodyHash
	case StateIntent:
		// A holder replaces its own attempt only if it abandoned that attempt without sending it.
		return TriggerReplace, record.Holder == change.Holder && record.BodyHash == change.BodyHash
	default:
		return TriggerCommit, true
	}
}
