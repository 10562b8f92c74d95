package booking

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// State is how far a booking has come.
type State string

// The states of a booking.
const (
	StateAbsent  State = "Absent"
	StateIntent  State = "Intent"
	StateDone    State = "Done"
	StateRefused State = "Refused"
	StateUnknown State = "Unknown"
)

// Key identifies a booking over all entries.
type Key struct {
	Account        string
	IdempotencyKey string
}

// Record is one booking.
type Record struct {
	Key Key
	// BodyHash tells orders with the same key and different content apart.
	BodyHash string
	State    State
	// Holder is the incarnation of the entry that may send the newest attempt.
	Holder string
	// Attempt identifies the newest intent.
	Attempt string
	// Attempts counts the intents that may have been sent since the order was last known not to have run.
	Attempts int
	Answer   call.Answer
	// At is when the state last changed, by the clock of the entry that changed it.
	At time.Time
	// Number is that of the log entry with the last change.
	Number int64
	// First is that of the oldest log entry that the record follows from.
	First int64
}

// Change is one step of a booking, as a log entry holds it.
type Change struct {
	Key      Key
	BodyHash string `json:",omitempty"`
	State    State
	Holder   string `json:",omitempty"`
	Attempt  string
	// Attempts is set only when an unsettled record is copied forward before truncation.
	Attempts int `json:",omitempty"`
	// Settled marks the word of the service itself, which holds for all attempts.
	Settled bool         `json:",omitempty"`
	Answer  *call.Answer `json:",omitempty"`
	At      time.Time
}

// Unresolved reports whether the booking may have run without a known outcome.
func (record Record) Unresolved() bool {
	return record.State == StateIntent || record.State == StateUnknown
}

// Expired reports whether the record's retention is over; unsettled records do not expire.
func (record Record) Expired(now time.Time, retention time.Duration) bool {
	return !record.Unresolved() && now.Sub(record.At) >= retention
}

// CarryForward returns the change that writes the record again, for truncation.
func (record Record) CarryForward() Change {
	return Change{
		Key: record.Key, BodyHash: record.BodyHash, State: record.State, Holder: record.Holder,
		Attempt: record.Attempt, Attempts: record.Attempts, At: record.At,
	}
}

// WithChange returns the record after the change, or false if the change does not apply to it.
func (record Record) WithChange(change Change, number int64, retention time.Duration) (Record, bool) {
	if change.Attempts > 0 {
		return record.withCarry(change, number)
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
		record.First = number
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
	record.State, record.At, record.Number = state, change.At, number
	return record, true
}

// withCarry puts the record where a reader that starts after the truncation finds it.
//
// It holds over what such a reader made of later entries alone, because it was
// written by compare-and-swap from the whole state.
func (record Record) withCarry(change Change, number int64) (Record, bool) {
	return Record{
		Key: change.Key, BodyHash: change.BodyHash, State: change.State, Holder: change.Holder,
		Attempt: change.Attempt, Attempts: change.Attempts, At: change.At, Number: number, First: number,
	}, true
}

// trigger returns what a change does to the record.
func (record Record) trigger(change Change) (Trigger, bool) {
	current := record.Attempt == change.Attempt
	switch change.State {
	case StateIntent:
		return record.intentTrigger(change)
	case StateDone:
		return TriggerFinish, change.Answer != nil
	case StateUnknown:
		return TriggerLose, current
	case StateRefused:
		if change.Settled || (current && record.Attempts <= 1) {
			return TriggerRefuse, true
		}
		// An earlier attempt may have run although this one did not.
		return TriggerLose, current
	default:
		return "", false
	}
}

func (record Record) intentTrigger(change Change) (Trigger, bool) {
	switch record.State {
	case StateUnknown:
		return TriggerResend, record.BodyHash == change.BodyHash
	case StateIntent:
		// A holder replaces its own attempt only when it gave that up unsent.
		return TriggerReplace, record.Holder == change.Holder && record.BodyHash == change.BodyHash
	default:
		return TriggerCommit, true
	}
}
