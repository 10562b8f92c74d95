package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
)

func plan(to string, revision int64) rollout.Plan {
	return rollout.Plan{Order: rollout.Order{Service: "s", To: to, Duration: 12 * time.Second, Revision: revision}}
}

// in returns the plan with a record of its order.
func in(plan rollout.Plan, phase rollout.Phase, revision int64, base ...string) rollout.Plan {
	plan.Record = rollout.Record{Service: "s", Order: plan.Order.Revision, To: plan.Order.To, Phase: phase, Base: base, Revision: revision}
	return plan
}

// after returns an order that follows that of an earlier plan, whose record is still there.
func after(earlier rollout.Plan, to string, revision int64) rollout.Plan {
	next := plan(to, revision)
	next.Record = earlier.Record
	return next
}

// Guards against calls at a version that no order allows.
func TestSides(t *testing.T) {
	trial := in(plan("v2", 5), rollout.PhaseTrial, 6, "v1")
	for _, test := range []struct {
		name  string
		plan  rollout.Plan
		allow string
	}{
		{"no order", rollout.Plan{}, "v1 v2 v3"},
		{"order without a record", plan("v2", 5), "v1 v2 v3"},
		{"trial", trial, "v1 v2"},
		{"shift", in(plan("v2", 5), rollout.PhaseShift, 6, "v1"), "v1 v2"},
		{"done", in(plan("v2", 5), rollout.PhaseDone, 6, "v1"), "v2"},
		{"rolled back", in(plan("v2", 5), rollout.PhaseRolledBack, 6, "v1"), "v1"},
		{"second order before the first is done", after(trial, "v3", 9), "v1 v3"},
		{"second order after the first is done", after(in(plan("v2", 5), rollout.PhaseDone, 6, "v1"), "v3", 9), "v2 v3"},
		{"back to the first version before the end", after(trial, "v1", 9), "v1"},
		{"order taken back", rollout.Plan{Record: trial.Record}, "v1 v3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			state, allowed := rollout.State{}.WithPlan(test.plan, 0), ""
			for _, version := range []string{"v1", "v2", "v3"} {
				if state.Allows(version) {
					allowed += version + " "
				}
			}
			assert.Equal(t, test.allow+" ", allowed)
		})
	}
}

// Guards against a stop or an end that a lost or older record of the store undoes.
func TestStopIsNeverUndone(t *testing.T) {
	trial := in(plan("v2", 5), rollout.PhaseTrial, 6, "v1")
	state := rollout.State{}.WithPlan(trial, 0).WithStop(5)
	assert.False(t, state.Allows("v2"))
	for _, later := range []rollout.Plan{plan("v2", 5), in(plan("v2", 5), rollout.PhaseShift, 8, "v1"), trial} {
		state = state.WithPlan(later, 0)
		assert.False(t, state.Allows("v2"))
		assert.True(t, state.Allows("v1"))
	}
	done := rollout.State{}.WithPlan(in(plan("v2", 5), rollout.PhaseDone, 9, "v1"), 0).WithPlan(trial, 0).WithStop(5)
	assert.False(t, done.Allows("v1"), "the old servers may have been stopped")
	assert.True(t, state.WithPlan(plan("v2", 12), 0).Allows("v2"), "the next order is another one")
	assert.False(t, rollout.State{}.WithPlan(trial, 0).WithStop(4).Stopped(), "the stop of an earlier order")
}

// Guards against a trial whose calls at new servers exceed their share, over entries with many and with few calls, and against
// routes with few calls that are not tried.
func TestExposureStaysBelowItsShare(t *testing.T) {
	const share, entries = 0.1, 80
	for _, calls := range []int{5, 40, 2000} {
		random, exposed, rare := rand.New(rand.NewPCG(uint64(calls), 1)), 0, 0
		for range entries {
			state := rollout.State{}.WithPlan(plan("v2", 5), random.Float64())
			for i := range calls {
				route, taken := "often", false
				if i%20 == 19 {
					route = "rare"
				}
				if state, taken = state.WithRequest(route, share).WithExposure(route, share, random.Float64()); taken {
					exposed++
					if route == "rare" {
						rare++
					}
				}
			}
		}
		assert.LessOrEqual(t, exposed, int(share*float64(calls*entries)))
		assert.GreaterOrEqual(t, exposed, int(0.5*share*float64(calls*entries)-entries/2), "%d calls", calls)
		if calls >= 2000 {
			assert.Greater(t, rare, exposed/4)
		}
	}
	stopped, taken := rollout.State{}.WithPlan(plan("v2", 5), 0.99).WithStop(5).WithRequest("r", 1).WithExposure("r", 1, 0)
	assert.False(t, taken)
	assert.Equal(t, rollout.PhaseRolledBack, stopped.Phase())
}

// Guards against new servers that register late and get all calls of the share at once, which makes them slow.
func TestUnusedShareLapses(t *testing.T) {
	const share = 0.1
	state := rollout.State{}.WithPlan(plan("v2", 5), 0)
	for range 1000 {
		state = state.WithRequest("r", share)
	}
	taken := 0
	for range 100 {
		next, exposed := state.WithExposure("r", share, 0)
		if state = next; exposed {
			taken++
		}
	}
	assert.LessOrEqual(t, taken, 4)
}

// Guards against a trial that spreads its few calls over all new servers, where a fault under load would not show.
func TestTrialUsesFewServers(t *testing.T) {
	var servers []directory.Server
	for i := range 40 {
		servers = append(servers, directory.Server{ID: fmt.Sprintf("i-%02d", i), Version: []string{"v1", "v2"}[i%2]})
	}
	state := rollout.State{}.WithPlan(in(plan("v2", 5), rollout.PhaseTrial, 6, "v1"), 0)
	assert.Len(t, state.Candidates(servers, rollout.SideOld, 0.1), 20)
	assert.Len(t, state.Candidates(servers, rollout.SideNew, 0.1), 2)
	assert.Len(t, state.Candidates(servers, rollout.SideNew, 0.3), 7)
	assert.Len(t, state.Candidates(servers[:24], rollout.SideNew, 0.1), 1)
	shift := state.WithPlan(in(plan("v2", 5), rollout.PhaseShift, 8, "v1"), 0)
	assert.Len(t, shift.Candidates(servers, rollout.SideNew, 0.1), 20)
	assert.Empty(t, state.WithStop(5).Candidates(servers, rollout.SideNew, 0.1))
}
