package booking

import "time"

// Verdict is how an order goes on.
type Verdict string

// The verdicts on an order.
const (
	// VerdictCommit is to commit the change; the order is sent once it is committed.
	VerdictCommit Verdict = "Commit"
	// VerdictSend means that the order's intent is committed, so this attempt may be sent.
	VerdictSend Verdict = "Send"
	// VerdictWait is to wait for the holder.
	VerdictWait Verdict = "Wait"
	// VerdictReplay is to give the first answer again.
	VerdictReplay Verdict = "Repeat"
	// VerdictConflict is an order whose key was used for another content.
	VerdictConflict Verdict = "Conflict"
	// VerdictMark is to commit that the holder's outcome is unknown.
	VerdictMark Verdict = "Mark"
	// VerdictResolve is to ask the service what became of the order.
	VerdictResolve Verdict = "Settle"
	// VerdictFull is a shard at its bound.
	VerdictFull Verdict = "Full"
)

// Order is one request to run a booking.
type Order struct {
	Key      Key
	BodyHash string
	// Holder is the incarnation of the entry that would send it.
	Holder string
	// Attempt is unique per order over all entries.
	Attempt string
	// ByKey states that the service drops repeats of a key itself.
	ByKey bool
	// GoneHolder and GoneAttempt name an intent whose holder will not finish it, as far as the entry can tell.
	GoneHolder  string
	GoneAttempt string
	// IsUnsent reports whether an attempt of this holder was given up without being sent.
	IsUnsent func(attempt string) bool
}

// WithAbandoned returns the order with the intent of the record taken for abandoned.
func (order Order) WithAbandoned(record Record) Order {
	order.GoneHolder, order.GoneAttempt = record.Holder, record.Attempt
	return order
}

// Decision is the verdict on an order, the record that it rests on, and the change to commit if there is one.
type Decision struct {
	Verdict Verdict
	Record  Record
	Change  Change
}

// Decide returns how the order goes on from this state of its shard.
func (shard Shard) Decide(order Order, now time.Time) Decision {
	record := shard.Record(order.Key)
	added := record.State == StateAbsent
	if record.Expired(now, shard.settings.Retention) {
		record = Record{Key: order.Key, State: StateAbsent}
	}
	decision := Decision{Record: record}
	switch {
	case added && shard.count >= shard.settings.Records:
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
		decision = decision.withHolder(order, now)
	}
	return decision
}

// withHolder decides on an order whose intent is committed, by this attempt or another.
func (decision Decision) withHolder(order Order, now time.Time) Decision {
	record := decision.Record
	switch {
	case record.Attempt == order.Attempt:
		decision.Verdict = VerdictSend
	case record.Holder == order.Holder && order.IsUnsent != nil && order.IsUnsent(record.Attempt):
		return decision.withIntent(order, now)
	case record.Holder == order.GoneHolder && record.Attempt == order.GoneAttempt:
		decision.Verdict = VerdictMark
		decision.Change = Change{Key: order.Key, State: StateUnknown, Attempt: record.Attempt, At: now}
	default:
		decision.Verdict = VerdictWait
	}
	return decision
}

func (decision Decision) withIntent(order Order, now time.Time) Decision {
	decision.Verdict = VerdictCommit
	decision.Change = Change{
		Key: order.Key, BodyHash: order.BodyHash, State: StateIntent,
		Holder: order.Holder, Attempt: order.Attempt, At: now,
	}
	return decision
}

// DecideChange returns the verdict on a change that states an outcome: to
// commit it if it applies, or else to leave the record as it is.
func (shard Shard) DecideChange(change Change, now time.Time) Decision {
	record := shard.Record(change.Key)
	change.At = now
	next, ok := record.WithChange(change, shard.last+1, shard.settings.Retention)
	if !ok || next.State == record.State {
		return Decision{Verdict: VerdictReplay, Record: record}
	}
	return Decision{Verdict: VerdictCommit, Record: record, Change: change}
}
