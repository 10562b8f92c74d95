package main_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The orders of the test. The time is real, since the entries are separate processes, so it is more than an order of this size needs.
const (
	rolloutSeconds = 12
	rolloutRunners = 4
)

// Guards against parts of a roll-out that work alone but are not connected in the process of an entry: a good version must be done, and
// then a bad one rolled back, with each answer the one to its call.
func TestRolloutsOfNodeProcesses(t *testing.T) {
	soak := newSoak(t, 0, "rollout")
	soak.awaitAllServing()
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := caller; ctx.Err() == nil; i++ {
				soak.call(caller, i%soakEntries)
			}
		})
	}
	assert.Contains(t, soak.rollOut("v2", false), `"done"`)
	for _, old := range soak.runners[:soakRunners] {
		soak.unregister(old)
		old.Crash()
	}
	assert.Contains(t, soak.rollOut("v3", true), `"rolled_back"`)
	stop()
	callers.Wait()
	soak.reportViolations()
	assert.Contains(t, scrape(t, soak.readyAddresses[0]), `rosemaryspar_rollout_answers_total{service="s",version="v2",result="sound"}`)
	assert.Contains(t, scrape(t, soak.readyAddresses[0]), `rosemaryspar_rollout_stops_total{service="s"`)
}

// rollOut orders a version, starts its runners, and returns the status at the end of the order.
func (soak *soak) rollOut(version string, failing bool) string {
	soak.store.PutRollout("s", version, rolloutSeconds)
	for range rolloutRunners {
		soak.addRunner(version, failing)
	}
	status := ""
	require.Eventually(soak.t, func() bool {
		status = soak.store.RolloutStatus("s")
		return strings.Contains(status, version) && !strings.Contains(status, "running")
	}, (rolloutSeconds+8)*time.Second, 20*time.Millisecond, "the order of %s has no end", version)
	return status
}
