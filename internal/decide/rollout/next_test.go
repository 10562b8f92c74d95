package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

// Guards against an order that moves too early, does not end by its deadline, or ends otherwise than its evidence says.
func TestNext(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	begun := func(plan rollout.Plan) rollout.Plan {
		plan.Record.Started, plan.Record.PhaseStarted = start, start
		return plan
	}
	trial, shift := begun(in(plan("v2", 5), rollout.PhaseTrial, 6, "v1")), begun(in(plan("v2", 5), rollout.PhaseShift, 8, "v1"))
	removed := rollout.Plan{Record: trial.Record}
	for _, test := range []struct {
		name       string
		plan       rollout.Plan
		change     func(*rollout.Situation)
		wantPhase  rollout.Phase
		wantReason rollout.Reason
	}{
		{"first record", plan("v2", 5), nil, rollout.PhaseTrial, rollout.ReasonOrdered},
		{"sound but early", trial, func(situation *rollout.Situation) { situation.Now = start.Add(5900 * time.Millisecond) }, "", ""},
		{"sound", trial, nil, rollout.PhaseShift, rollout.ReasonSound},
		{"no servers", trial, func(situation *rollout.Situation) { situation.NewServers = 0 }, "", ""},
		{"bad", trial, func(situation *rollout.Situation) { situation.Verdict = rollout.VerdictBad }, rollout.PhaseRolledBack, rollout.ReasonBad},
		{"stopped by another entry", trial, func(situation *rollout.Situation) { situation.State = situation.State.WithStop(5) }, rollout.PhaseRolledBack, rollout.ReasonBad},
		{"deadline", trial, func(situation *rollout.Situation) { situation.Now = start.Add(11500 * time.Millisecond) }, rollout.PhaseRolledBack, rollout.ReasonDeadline},
		{"not moved", shift, nil, "", ""},
		{"moved", shift, func(situation *rollout.Situation) { situation.SettledFor = time.Second }, rollout.PhaseDone, rollout.ReasonMoved},
		{"bad in the shift", shift, func(situation *rollout.Situation) { situation.Verdict = rollout.VerdictBad }, rollout.PhaseRolledBack, rollout.ReasonBad},
		{"new servers lost in the shift", shift, func(situation *rollout.Situation) {
			situation.NewServers, situation.Now = 0, start.Add(12*time.Second)
		}, rollout.PhaseRolledBack, rollout.ReasonNoServers},
		{"done", in(plan("v2", 5), rollout.PhaseDone, 9, "v1"), nil, "", ""},
		{"order taken back", removed, nil, rollout.PhaseRolledBack, rollout.ReasonOrderRemoved},
		{"second order", after(trial, "v3", 9), nil, rollout.PhaseTrial, rollout.ReasonOrdered},
		{"back to the version before", after(shift, "v1", 9), nil, rollout.PhaseShift, rollout.ReasonServesAlready},
		{"record lost after a stop", plan("v2", 5), func(situation *rollout.Situation) { situation.State = situation.State.WithStop(5) }, rollout.PhaseRolledBack, rollout.ReasonRestored},
	} {
		t.Run(test.name, func(t *testing.T) {
			situation := rollout.Situation{
				State: rollout.State{}.WithPlan(test.plan, 0), FirstSeen: start, Now: start.Add(7 * time.Second),
				Verdict: rollout.VerdictSound, Versions: []string{"v2", "v1", "v1"}, NewServers: 3,
			}
			if test.change != nil {
				test.change(&situation)
			}
			record, reason, changed := rollout.Next(situation)
			assert.Equal(t, test.wantReason, reason)
			assert.Equal(t, test.wantPhase, record.Phase)
			assert.Equal(t, test.wantPhase != "", changed)
			if changed && test.plan.Order.Revision == 5 {
				assert.Equal(t, []string{"v1"}, record.Base)
			}
		})
	}
}
