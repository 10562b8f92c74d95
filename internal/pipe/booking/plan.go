package booking

import (
	"encoding/json"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
)

// changeLimit bounds the changes in one log entry; at 400 bytes each they take 400 KB.
const changeLimit = 1000

// plan is the result of dividing a batch of proposals for one append by the writer.
type plan struct {
	changes []booking.Change
	// written contains the proposals to be answered after the changes are committed.
	written []proposal
	// deferred contains the proposals that do not fit into the log entry.
	deferred []proposal
	// unanswered contains the written and the deferred proposals, which are retried if the append fails.
	unanswered []proposal
}

// planBatch decides each proposal on the state that results from base and the proposals before it.
//
// Decisions that need no change and depend on committed entries only are answered
// at once. If base is stale, only proposals that replay a recorded answer are
// answered, since recorded answers are final. The answers in one plan have at most
// sizeLimit bytes, unless the plan has a single change.
func planBatch(base booking.Shard, batch []proposal, now time.Time, sizeLimit int, stale bool) plan {
	var next plan
	tentative := base
	size := 0
	for _, proposal := range batch {
		if len(next.changes) > 0 && (size+proposal.size > sizeLimit || len(next.changes) >= changeLimit) {
			next.deferred = append(next.deferred, proposal)
			continue
		}
		decision := proposal.decide(tentative, now)
		changed := decision.Change.State != ""
		committed := !changed && decision.Record.LastEntry <= base.Last()
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
	next.unanswered = append(append(next.unanswered, next.written...), next.deferred...)
	return next
}

// entryPayload is the JSON payload of a log entry.
type entryPayload struct {
	Changes []booking.Change
}

func encodeChanges(changes []booking.Change) ([]byte, error) {
	payload, err := json.Marshal(entryPayload{Changes: changes})
	return payload, fault.Wrap(err, stepBooking, "")
}

func decodeChanges(payload []byte) ([]booking.Change, error) {
	var entry entryPayload
	err := json.Unmarshal(payload, &entry)
	return entry.Changes, fault.Wrap(err, stepBooking, "")
}

// withdrawalProposal returns a proposal to record an intent that was never sent as refused.
func withdrawalProposal(key booking.Key, attempt string) proposal {
	change := booking.Change{Key: key, State: booking.StateRefused, Attempt: attempt}
	withdrawal := outcomeProposal(change)
	// The intent may be in an entry whose append was not answered, so the log must be read first.
	withdrawal.needsFreshState = true
	return withdrawal
}

// outcomeProposal returns a proposal to commit a change with the outcome of an order.
func outcomeProposal(change booking.Change) proposal {
	size := 0
	if change.Answer != nil {
		size = len(change.Answer.Body)
	}
	return proposal{
		size: size, reply: make(chan booking.Decision, 1),
		decide: func(shard booking.Shard, now time.Time) booking.Decision { return shard.DecideChange(change, now) },
	}
}
