package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// restored returns a revision of the store after its first restore.
func restored(revision int64) int64 { return directory.Qualified(1, revision) }

// Guards against a restore of the store that makes an order another one or loses it, so that its version gets all calls or a second
// trial, and against an order that the operator can no longer take back or give again afterwards.
func TestOrderAcrossARestore(t *testing.T) {
	slower := plan("v2", restored(60))
	slower.Order.Duration *= 2
	for _, test := range []struct {
		name string
		// reads are the plans of successive reads, after one of an order with revision 50.
		reads []rollout.Plan
		want  int64
	}{
		{"in the backup", []rollout.Plan{plan("v2", restored(50))}, 50},
		{"lost", []rollout.Plan{{}, {}}, 50},
		{"lost and written again", []rollout.Plan{{}, plan("v2", restored(70)), plan("v2", restored(70))}, 50},
		{"lost, and another version ordered", []rollout.Plan{{}, plan("v3", restored(70))}, restored(70)},
		{"another duration", []rollout.Plan{slower}, restored(60)},
		{"in the backup, then taken back", []rollout.Plan{plan("v2", restored(50)), {}}, 0},
		{"in the backup, then ordered once more", []rollout.Plan{plan("v2", restored(50)), plan("v2", restored(90))}, restored(90)},
	} {
		t.Run(test.name, func(t *testing.T) {
			known := rollout.Known{}.WithRead(rollout.Plans{"s": plan("v2", 50)}, 55)
			for i, read := range test.reads {
				plans := rollout.Plans{"s": read}
				if read.Order.Revision == 0 {
					plans = nil
				}
				known = known.WithRead(plans, restored(int64(100+i)))
				assert.True(t, known.IsOf(plans, restored(int64(100+i))))
			}
			assert.Equal(t, test.want, known.Plans()["s"].Order.Revision)
			assert.Equal(t, known, known.WithRead(nil, 99), "a read of before the restore")
		})
	}
}

// Guards against an entry that starts after a restore and takes the order of a record for another one than the others do.
func TestOrderOfARecordAcrossARestore(t *testing.T) {
	read := plan("v2", restored(50))
	read.Record = rollout.Record{Service: "s", Order: 50, To: "v2", Duration: 12 * time.Second, Phase: rollout.PhaseRolledBack, Base: []string{"v1"}, Revision: restored(52)}
	known := rollout.Known{}.WithRead(rollout.Plans{"s": read}, restored(60))
	state := rollout.State{}.WithPlan(known.Plans()["s"], 0)
	assert.Equal(t, rollout.PhaseRolledBack, state.Phase())
	assert.False(t, state.Allows("v2"))
}

// Guards against a shift that becomes a trial again, since a restored store has the record of an earlier phase or order.
func TestRecordOfABackupChangesNoPhase(t *testing.T) {
	shift := in(plan("v2", 50), rollout.PhaseShift, 60, "v1")
	earlier := plan("v2", 50)
	earlier.Record = rollout.Record{Service: "s", Order: 20, To: "v1", Phase: rollout.PhaseDone, Revision: restored(22)}
	for _, read := range []rollout.Plan{in(plan("v2", 50), rollout.PhaseTrial, restored(52), "v1"), earlier} {
		state := rollout.State{}.WithPlan(shift, 0).WithPlan(read, 0)
		assert.Equal(t, rollout.PhaseShift, state.Phase())
		record, reason, changed := rollout.Next(rollout.Situation{State: state, Now: time.Now(), FirstSeen: time.Now()})
		assert.True(t, changed)
		assert.Equal(t, rollout.ReasonRestored, reason)
		assert.Equal(t, shift.Record, record, "the leader writes the record again")
		assert.Equal(t, read.Record.Revision, state.Stored().Record.Revision, "on the condition of the restored one")
		ended := state.WithPlan(in(plan("v2", 50), rollout.PhaseRolledBack, restored(70), "v1"), 0)
		assert.Equal(t, rollout.PhaseRolledBack, ended.Phase())
	}
}
