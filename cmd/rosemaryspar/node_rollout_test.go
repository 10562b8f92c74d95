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

const (
	// rolloutSeconds is the time of an order. It is more than an order of this size needs, since the time is real.
	rolloutSeconds = 12
	// rolloutRunners is the number of runners of each new version, as many as the deployment has of the first one.
	rolloutRunners = deploymentRunners
)

// Guards against parts of a roll-out that work alone but are not connected in the process of an entry: a good version must be done, and
// then a bad one rolled back, with each answer the one to its call.
func TestRolloutsOfNodeProcesses(t *testing.T) {
	deployment := newDeployment(t, 0, "rollout")
	deployment.awaitAllServing()
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := caller; ctx.Err() == nil; i++ {
				deployment.call(caller, i%deploymentEntries)
			}
		})
	}
	assert.Contains(t, deployment.rollOut("v2", false), `"done"`)
	for _, old := range deployment.runners[:deploymentRunners] {
		deployment.unregister(old)
		old.Crash()
	}
	assert.Contains(t, deployment.rollOut("v3", true), `"rolled_back"`)
	stop()
	callers.Wait()
	deployment.reportViolations()
	assert.Contains(t, scrape(t, deployment.readyAddresses[0]), `rosemaryspar_rollout_answers_total{service="s",version="v2",result="sound"}`)
	assert.Contains(t, scrape(t, deployment.readyAddresses[0]), `rosemaryspar_rollout_stops_total{service="s"`)
}

// rollOut orders a version, starts its runners, and returns the status at the end of the order.
func (deployment *deployment) rollOut(version string, failing bool) string {
	deployment.store.PutRollout("s", version, rolloutSeconds)
	for range rolloutRunners {
		deployment.addRunner(version, failing)
	}
	status := ""
	require.Eventually(deployment.t, func() bool {
		status = deployment.store.RolloutStatus("s")
		return strings.Contains(status, version) && !strings.Contains(status, "running")
	}, (rolloutSeconds+8)*time.Second, 20*time.Millisecond, "the order of %s has no end", version)
	return status
}
