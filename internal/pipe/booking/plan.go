package booking

import (
	"encoding/json"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
)

// changeLimit bounds the changes in one log entry; at 400 bytes each they take 400 KB.
const changeLimit = 1000

// plan is what one round of a writer does with a batch.
type plan struct {
	changes []booking.Change
	// written are the proposals that rest on the changes.
	written []proposal
	// later are the proposals for which the entry has no room.
	later []proposal
	// rest are all proposals that are not answered, written and later.
	rest []proposal
}

// planFor decides each proposal on the state that the ones before it lead to.
//
// Decisions that rest on committed entries alone and need no change are answered
// at once. From a stale state, only final answers are given.
func planFor(base booking.Shard, batch []proposal, now time.Time, sizeLimit int, stale bool) plan {
	var next plan
	tentative := base
	size := 0
	for _, proposal := range batch {
		if len(next.changes) > 0 && (size+proposal.size > sizeLimit || len(next.changes) >= changeLimit) {
			next.later = append(next.later, proposal)
			continue
		}
		decision := proposal.decide(tentative, now)
		changed := decision.Change.State != ""
		committed := !changed && decision.Record.Number <= base.Last()
		if committed && (!stale || decision.Verdict == booking.VerdictReplay) {
			proposal.reply <- decision
			continue
		}
		if changed {
			next.changes = append(next.changes, decision.Change)
			tentative = tentative.WithEntry(base.Last()+1, []booking.Change{decision.Change})
			size += proposal.size
		}
		next.written = append(next.written, proposal)
	}
	next.rest = append(append(next.rest, next.written...), next.later...)
	return next
}

// batch is the payload of a log entry.
type batch struct {
	Changes []booking.Change
}

func encode(changes []booking.Change) ([]byte, error) {
	payload, err := json.Marshal(batch{Changes: changes})
	return payload, fault.Wrap(err, stepBooking, "")
}

func decode(payload []byte) ([]booking.Change, error) {
	var entry batch
	err := json.Unmarshal(payload, &entry)
	return entry.Changes, fault.Wrap(err, stepBooking, "")
}

// withdrawal proposes that an intent which was never sent is refused.
func withdrawal(key booking.Key, attempt string) proposal {
	change := booking.Change{Key: key, State: booking.StateRefused, Attempt: attempt}
	withdrawal := outcome(change)
	// The intent may stand in an entry whose append was not answered.
	withdrawal.fresh = true
	return withdrawal
}

// outcome proposes a change that states what became of an order.
func outcome(change booking.Change) proposal {
	size := 0
	if change.Answer != nil {
		size = len(change.Answer.Body)
	}
	return proposal{
		size: size, reply: make(chan booking.Decision, 1),
		decide: func(shard booking.Shard, now time.Time) booking.Decision { return shard.DecideChange(change, now) },
	}
}
