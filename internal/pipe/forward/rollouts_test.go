package forward_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// orders are the roll-outs that the store has, as of a revision.
type orders struct {
	plans    rollout.Plans
	revision int64
	stops    int
}

func (orders *orders) Rollouts() (rollout.Plans, int64)                      { return orders.plans, orders.revision }
func (orders *orders) RecordRolloutAnswer(string, string, bool)              {}
func (orders *orders) RecordRolloutStop(rollout.Plan, rollout.Summary, bool) { orders.stops++ }

// withVersions lists servers with the ids and versions given in turn, at a revision of the store.
func (environment *environment) withVersions(revision int64, idsAndVersions ...string) {
	var listed []directory.Server
	for pair := range slices.Chunk(idsAndVersions, 2) {
		listed = append(listed, directory.Server{ID: pair[0], Service: "engines", State: directory.StateReady, Slots: 4, StartedMs: 1, Version: pair[1]})
	}
	environment.servers = environment.servers.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: revision, CurrentAt: time.Minute, Value: listed})
}

// newRollouts returns an environment, orders as of a revision, and the roll-outs of an entry that exposes a share of the calls.
func newRollouts(revision int64, share float64) (*environment, *orders, *forward.Rollouts) {
	source := &orders{revision: revision}
	return newEnvironment(route.KindIdempotent), source, forward.NewRollouts(source, func() float64 { return share }, source)
}

// deliver sends calls through a delivery with roll-outs, and returns the servers that they went to.
func (environment *environment) deliver(t *testing.T, rollouts *forward.Rollouts, calls int) []string {
	t.Helper()
	environment.sentTo = nil
	dependencies := environment.dependencies(environment)
	dependencies.Rollouts = rollouts
	delivery := forward.NewDelivery(dependencies)
	matched, ok := environment.table.Match("a", "/open/x")
	require.True(t, ok)
	for range calls {
		_, err := delivery.Handle(t.Context(), request.Exchange{
			Reply: environment, Route: matched, View: environment.View(), Request: call.Request{ID: "1", Deadline: time.Now().Add(time.Second), Opaque: call.Opaque{Host: "a"}},
		})
		if err != nil {
			environment.sentTo = append(environment.sentTo, outcome(err))
		}
	}
	return slices.Compact(slices.Sorted(slices.Values(environment.sentTo)))
}

// Guards against calls at servers of a version that this entry has not seen before, while it does not know whether an order
// restricts them.
func TestNewVersionWaitsForTheOrders(t *testing.T) {
	environment, source, rollouts := newRollouts(9, 0.1)
	environment.withVersions(10, "a", "v1")
	assert.Equal(t, []string{"refused NoBackend"}, environment.deliver(t, rollouts, 1), "orders older than the list")
	assert.False(t, rollouts.HasConfirmed(environment.servers))
	source.revision = 10
	assert.True(t, rollouts.HasConfirmed(environment.servers))
	assert.Equal(t, []string{"a"}, environment.deliver(t, rollouts, 1))
	environment.withVersions(12, "a", "v1", "b", "v2")
	assert.Equal(t, []string{"a"}, environment.deliver(t, rollouts, 20))
	environment.withVersions(14, "a", "v1", "b", "v2")
	source.revision = 13
	assert.Equal(t, []string{"a", "b"}, environment.deliver(t, rollouts, 20), "the list that had the version first counts")
}

// Guards against calls at new servers after a stop that a peer has passed on, also if it arrives before the order, and against a
// call that is refused although an old server could take it.
func TestStopOfAPeerHolds(t *testing.T) {
	environment, source, rollouts := newRollouts(20, 0.5)
	environment.withVersions(10, "a", "v1", "b", "v2")
	assert.False(t, rollouts.MergeStops(map[string]int64{"engines": 15}), "the order is not known yet")
	order := rollout.Order{Service: "engines", To: "v2", Duration: 12 * time.Second, Revision: 15}
	source.plans = rollout.Plans{"engines": {Order: order}}
	assert.Equal(t, []string{"a"}, environment.deliver(t, rollouts, 20))
	assert.Equal(t, map[string]int64{"engines": 15}, rollouts.Stops())
	order.Revision = 18
	source.plans = rollout.Plans{"engines": {Order: order}}
	assert.Equal(t, []string{"a", "b"}, environment.deliver(t, rollouts, 20), "the next order")
	assert.True(t, rollouts.MergeStops(map[string]int64{"engines": 18}))
	assert.False(t, rollouts.MergeStops(map[string]int64{"engines": 15}))
	assert.Equal(t, []string{"a"}, environment.deliver(t, rollouts, 20))
	assert.Equal(t, 1, source.stops)
	environment.withVersions(11, "b", "v2")
	assert.Equal(t, []string{"refused NoBackend"}, environment.deliver(t, rollouts, 1), "never the new ones")
}

// Guards against calls at a version that was stopped, after the store was restored from a backup that lacks its order, or that has it at
// a revision of the new era.
func TestStopHoldsAcrossARestore(t *testing.T) {
	environment, source, rollouts := newRollouts(20, 0.5)
	environment.withVersions(10, "a", "v1", "b", "v2")
	order := rollout.Order{Service: "engines", To: "v2", Duration: 12 * time.Second, Revision: 15}
	source.plans = rollout.Plans{"engines": {Order: order}}
	assert.Equal(t, []string{"a", "b"}, environment.deliver(t, rollouts, 20))
	assert.True(t, rollouts.MergeStops(map[string]int64{"engines": 15}))
	source.plans, source.revision = nil, directory.Qualified(1, 12)
	assert.Equal(t, []string{"a"}, environment.deliver(t, rollouts, 20), "the order is lost")
	assert.Equal(t, map[string]int64{"engines": 15}, rollouts.Stops())
	order.Revision = directory.Qualified(1, 14)
	source.plans, source.revision = rollout.Plans{"engines": {Order: order}}, directory.Qualified(1, 14)
	assert.Equal(t, []string{"a"}, environment.deliver(t, rollouts, 20), "the order is written again")
}
