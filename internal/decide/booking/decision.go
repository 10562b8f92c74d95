package booking

import "time"

// Verdict is the next step for a request.
type Verdict string

// The verdicts on a request.
const (
	// VerdictCommit means to commit the change; an intent is sent once it is committed.
	VerdictCommit Verdict = "Commit"
	// VerdictSend means that the intent of this attempt is committed, so the request may be sent.
	VerdictSend Verdict = "Send"
	// VerdictWait means to wait for the holder of the intent.
	VerdictWait Verdict = "Wait"
	// VerdictReplay means to return the recorded outcome, without sending the request again.
	VerdictReplay Verdict = "Repeat"
	// VerdictConflict means that the key was used before for a request with a different body.
	VerdictConflict Verdict = "Conflict"
	// VerdictMarkUnknown means to commit that the outcome of the holder's attempt is unknown.
	VerdictMarkUnknown Verdict = "Mark"
	// VerdictResolve means to query the service for the outcome of the request.
	VerdictResolve Verdict = "Settle"
	// VerdictFull means that the shard has reached its maximum number of records.
	VerdictFull Verdict = "Full"
)

// Request is a caller's request that must run at most once.
type Order struct {
	Key      Key
	BodyHash string
	// Holder is the incarnation of the entry that would send the request.
	Holder string
	// Attempt identifies this attempt uniquely over all entries.
	Attempt string
	// ByKey reports that the service deduplicates requests by idempotency key itself.
	ByKey bool
	// AbandonedHolder and AbandonedAttempt identify an intent that its holder is
	// presumed never to finish.
	AbandonedHolder  string
	AbandonedAttempt string
	// IsUnsent reports whether this holder abandoned the attempt without sending it.
	IsUnsent func(attempt string) bool
}

// WithAbandoned returns the request with the intent of the record presumed abandoned.
func (request Order) WithAbandoned(record Record) Order {
	request.AbandonedHolder, request.AbandonedAttempt = record.Holder, record.Attempt
	return request
}

// Decision is the verdict on a request, the record on which it is based, and the change to commit, if any.
type Decision struct {
	Verdict Verdict
	Record  Record
	Change  Change
}

// Decide returns the decision on the request in the current state of its shard.
func (shard Shard) Decide(request Order, now time.Time) Decision {
	record := shard.Record(request.Key)
	added := record.State == StateAbsent
	if record.Expired(now, shard.settings.Retention) {
		record = Record{Key: request.Key, State: StateAbsent}
	}
	decision := Decision{Record: record}
	switch {
	case added && shard.count >= shard.settings.MaxRecords:
		decision.Verdict = VerdictFull
	case record.State == StateAbsent:
		decision = decision.withIntent(request, now)
	case record.BodyHash != request.BodyHash:
		decision.Verdict = VerdictConflict
	case record.State == StateDone:
		decision.Verdict = VerdictReplay
	case record.State == StateRefused:
		decision = decision.withIntent(request, now)
	case record.State == StateUnknown && request.ByKey:
		decision = decision.withIntent(request, now)
	case record.State == StateUnknown:
		decision.Verdict = VerdictResolve
	default:
		decision = decision.withHolder(request, now)
	}
	return decision
}

// withHolder decides on a request for which an intent is committed, by this attempt or another.
func (decision Decision) withHolder(request Order, now time.Time) Decision {
	record := decision.Record
	switch {
	case record.Attempt == request.Attempt:
		decision.Verdict = VerdictSend
	case record.Holder == request.Holder && request.IsUnsent != nil && request.IsUnsent(record.Attempt):
		return decision.withIntent(request, now)
	case record.Holder == request.AbandonedHolder && record.Attempt == request.AbandonedAttempt:
		decision.Verdict = VerdictMarkUnknown
		decision.Change = Change{Key: request.Key, State: StateUnknown, Attempt: record.Attempt, At: now}
	default:
		decision.Verdict = VerdictWait
	}
	return decision
}

func (decision Decision) withIntent(request Order, now time.Time) Decision {
	decision.Verdict = VerdictCommit
	decision.Change = Change{
		Key: request.Key, BodyHash: request.BodyHash, State: StateIntent,
		Holder: request.Holder, Attempt: request.Attempt, At: now,
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
