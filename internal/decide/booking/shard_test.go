package booking_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

var (
	start         = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	key           = booking.Key{Account: "a", IdempotencyKey: "k"}
	settings      = booking.Settings{Retention: time.Hour, MaxRecords: 2}
	intent        = booking.Change{Key: key, BodyHash: "b", State: booking.StateIntent, Holder: "h1", Attempt: "h1-1", At: start}
	done          = booking.Change{Key: key, State: booking.StateDone, Attempt: "h1-1", Answer: &call.Answer{Status: 201}, At: start}
	refused       = booking.Change{Key: key, State: booking.StateRefused, Attempt: "h1-1", At: start}
	lost          = booking.Change{Key: key, State: booking.StateUnknown, Attempt: "h1-1", At: start}
	resent        = booking.Change{Key: key, BodyHash: "b", State: booking.StateIntent, Holder: "h2", Attempt: "h2-1", At: start}
	resentRefused = booking.Change{Key: key, State: booking.StateRefused, Attempt: "h2-1", At: start}
	replaced      = booking.Change{Key: key, BodyHash: "b", State: booking.StateIntent, Holder: "h1", Attempt: "h1-2", At: start}
)

// fold returns the shard after one log entry for each change.
func fold(changes ...booking.Change) booking.Shard {
	shard := booking.NewShard(settings)
	for index, change := range changes {
		shard = shard.WithEntry(int64(index+1), []booking.Change{change})
	}
	return shard
}

// Guards against an order that is sent twice or reported as refused although it may
// have run, because its record is in the wrong state.
func TestFoldAndDecide(t *testing.T) {
	refusedByService := refused
	refusedByService.Settled = true
	cases := []struct {
		name    string
		changes []booking.Change
		state   booking.State
		// verdict is the verdict on a repeat of the order at holder h2; byKey is the
		// verdict if the service deduplicates by key.
		verdict, byKey booking.Verdict
	}{
		{"absent", nil, booking.StateAbsent, booking.VerdictCommit, booking.VerdictCommit},
		{"intent", []booking.Change{intent}, booking.StateIntent, booking.VerdictWait, booking.VerdictWait},
		{"done", []booking.Change{intent, done}, booking.StateDone, booking.VerdictReplay, booking.VerdictReplay},
		{"refused", []booking.Change{intent, refused}, booking.StateRefused, booking.VerdictCommit, booking.VerdictCommit},
		{"unknown", []booking.Change{intent, lost}, booking.StateUnknown, booking.VerdictResolve, booking.VerdictCommit},
		{"late answer after a lost outcome", []booking.Change{intent, lost, done}, booking.StateDone, booking.VerdictReplay, booking.VerdictReplay},
		{"late refusal after a lost outcome", []booking.Change{intent, lost, refused}, booking.StateRefused, booking.VerdictCommit, booking.VerdictCommit},
		{"refusal of one of two attempts", []booking.Change{intent, lost, resent, resentRefused}, booking.StateUnknown, booking.VerdictResolve, booking.VerdictCommit},
		{"refusal by the service", []booking.Change{intent, lost, refusedByService}, booking.StateRefused, booking.VerdictCommit, booking.VerdictCommit},
		{"refusal of an older attempt", []booking.Change{intent, lost, resent, refused}, booking.StateIntent, booking.VerdictWait, booking.VerdictWait},
		{"changes after the answer", []booking.Change{intent, done, lost, refused}, booking.StateDone, booking.VerdictReplay, booking.VerdictReplay},
		{"intent of another holder", []booking.Change{intent, resent, lost}, booking.StateUnknown, booking.VerdictResolve, booking.VerdictCommit},
		{"intent replaced by its holder", []booking.Change{intent, replaced, lost}, booking.StateIntent, booking.VerdictWait, booking.VerdictWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shard := fold(c.changes...)
			assert.Equal(t, c.state, shard.Record(key).State)
			order := booking.Order{Key: key, BodyHash: "b", Holder: "h2", Attempt: "h2-9"}
			assert.Equal(t, c.verdict, shard.Decide(order, start).Verdict)
			order.ByKey = true
			assert.Equal(t, c.byKey, shard.Decide(order, start).Verdict)
			order.BodyHash = "other"
			if c.state != booking.StateAbsent {
				assert.Equal(t, booking.VerdictConflict, shard.Decide(order, start).Verdict)
			}
		})
	}
}

// Guards against bookings that are dropped before their retention ends or kept without limit.
func TestRetentionAndBound(t *testing.T) {
	newOrder := booking.Order{Key: booking.Key{Account: "a", IdempotencyKey: "new"}, BodyHash: "b", Holder: "h2", Attempt: "h2-1"}
	second := intent
	second.Key.IdempotencyKey = "unsettled"
	shard := fold(intent, done, second)
	assert.Equal(t, booking.VerdictFull, shard.Decide(newOrder, start).Verdict)
	through, _ := shard.Truncation(start.Add(time.Hour - 1))
	assert.Zero(t, through, "the done booking is kept with its intent for its retention")
	repeat := booking.Order{Key: key, BodyHash: "b"}
	assert.Equal(t, booking.VerdictReplay, shard.Decide(repeat, start.Add(time.Hour-1)).Verdict)
	assert.Equal(t, booking.VerdictCommit, shard.Decide(repeat, start.Add(time.Hour)).Verdict)
	through, carried := shard.Truncation(start.Add(time.Hour))
	assert.Equal(t, int64(3), through)
	require.Len(t, carried, 1)
	shard = shard.WithEntry(4, []booking.Change{carried[0].CarryForward()}).WithoutTruncated(3)
	assert.Equal(t, 1, shard.Count())
	assert.Equal(t, booking.StateIntent, shard.Record(second.Key).State)
	rebuilt := booking.NewShard(settings).WithLast(3).WithEntry(4, []booking.Change{carried[0].CarryForward()})
	assert.Equal(t, shard.Record(second.Key), rebuilt.Record(second.Key), "the carried record does not depend on truncated entries")
}

// Guards against an uneven distribution of keys over shards.
func TestKeysSpreadOverShards(t *testing.T) {
	counts := map[int]int{}
	for number := range 4000 {
		counts[booking.ShardOf(booking.Key{Account: "a", IdempotencyKey: fmt.Sprint(number)}, 4)]++
	}
	for shard := range 4 {
		assert.InDelta(t, 1000, counts[shard], 150)
	}
}
