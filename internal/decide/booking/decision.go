package booking

import "time"

// Verdict is the next step for an order.
type Verdict string

// The verdicts on an order.
const (
	// VerdictCommit means to commit the change; an intent is sent once it is committed.
	VerdictCommit Verdict = "Commit"
	// VerdictSend means that the intent of this attempt is committed, so the order may be sent.
	VerdictSend Verdict = "Send"
	// VerdictWait means to wait for the holder of the intent.
	VerdictWait Verdict = "Wait"
	// VerdictReplay means to return the recorded outcome, without sending the order again.
	VerdictReplay Verdict = "Repeat"
	// VerdictConflict means that the key was used before for an order with a different body.
	VerdictConflict Verdict = "Conflict"
	// VerdictMarkUnknown means to commit that the outcome of the holder's attempt is unknown.
	VerdictMarkUnknown Verdict = "Mark"
	// VerdictResolve means to query the service for the outcome of the order.
	VerdictResolve Verdict = "Settle"
	// VerdictFull means that the shard has reached its maximum number of records.
	VerdictFull Verdict = "Full"
)

// Order is a caller's request that must run at most once.
type Order struct {
	Key      Key
	BodyHash string
	// Holder is the incarnation of the entry that would send the order.
	Holder string
	// Attempt identifies this attempt uniquely over all entries.
	Attempt string
	// ByKey reports that the service deduplicates orders by idempotency key itself, so that
	// an order that may have run can be sent again.
	ByKey bool
	// AbandonedHolder and AbandonedAttempt identify an intent that its holder is
	// presumed never to finish.
	AbandonedHolder  string
	AbandonedAttempt string
	// IsUnsent reports whether Holder abandoned the attempt without sending it; nil if it
	// never did.
	IsUnsent func(attempt string) bool
}

// WithAbandoned returns the order with the intent of the record presumed abandoned.
func (order Order) WithAbandoned(record Record) Order {
	order.AbandonedHolder, order.AbandonedAttempt = record.Holder, record.Attempt
	return order
}

// Decision is the verdict on an order, the record on which it is based, and the change to commit, if any.
type Decision struct {
	Verdict Verdict
	Record  Record
	Change  Change
}

// Decide returns the decision on the order in the current state of its shard.
func (shard Shard) Decide(order Order, now time.Time) Decision {
	record := shard.Record(order.Key)
	isNew := record.State == StateAbsent
	if record.Expired(now, shard.settings.Retention) {
		record = Record{Key: order.Key, State: StateAbsent}
	}
	decision := Decision{Record: record}
	switch {
	case isNew && shard.count >= shard.settings.MaxRecords:
		decision.Verdict = VerdictFull
	case record.State == StateAbsent:
		decision = decision.withIntent(order, now)
	case record.BodyHash != order.BodyHash:
		decision.Verdict = VerdictConflict
	case record.State == StateDone:
		decision.Verdict = VerdictReplay
	case record.State == StateRefused:
		decision = decision.withIntent(order, now)
	case record.State == StateUnknown && order.ByKey:
		decision = decision.withIntent(order, now)
	case record.State == StateUnknown:
		decision.Verdict = VerdictResolve
	default:
		decision = decision.withCommittedIntent(order, now)
	}
	return decision
}

// withCommittedIntent decides on an order for which an intent is committed, by this attempt or another.
func (decision Decision) withCommittedIntent(order Order, now time.Time) Decision {
	record := decision.Record
	switch {
	case record.Attempt == order.Attempt:
		decision.Verdict = VerdictSend
	case record.Holder == order.Holder && order.IsUnsent != nil && order.IsUnsent(record.Attempt):
		return decision.withIntent(order, now)
	case record.Holder == order.AbandonedHolder && record.Attempt == order.AbandonedAttempt:
		decision.Verdict = VerdictMarkUnknown
		decision.Change = Change{Key: order.Key, State: StateUnknown, Attempt: record.Attempt, At: now}
	default:
		decision.Verdict = VerdictWait
	}
	return decision
}

// withIntent decides to commit an intent for a new attempt of the order.
func (decision Decision) withIntent(order Order, now time.Time) Decision {
	decision.Verdict = VerdictCommit
	decision.Change = Change{
		Key: order.Key, BodyHash: order.BodyHash, State: StateIntent,
		Holder: order.Holder, Attempt: order.Attempt, At: now,
	}
	return decision
}

// DecideChange returns the decision on a change that records an outcome:
// [VerdictCommit] if it applies and changes the state, or else [VerdictReplay],
// which leaves the record as it is.
func (shard Shard) DecideChange(change Change, now time.Time) Decision {
	record := shard.Record(change.Key)
	change.At = now
	next, ok := record.WithChange(change, shard.last+1, shard.settings.Retention)
	if !ok || next.State == record.State {
		return Decision{Verdict: VerdictReplay, Record: record}
	}
	return Decision{Verdict: VerdictCommit, Record: record, Change: change}
}
