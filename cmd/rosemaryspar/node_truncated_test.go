package main_test

import (
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// Guards against streams that runners break off and that callers get as complete, also while entries stop and reload their settings:
// streams with neither a length nor chunks that end inside an event, or that another runner continues with no event. The test uses
// real time, since the entries are separate processes.
func TestTruncatedStreamsAreNotCompleteToTheirCallers(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitAllServing()
	deployment.setRunners((*platform.Runner).SetTruncating, true)
	const callers, callsPerCaller, streamCaller = 8, 30, 2
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := range callsPerCaller {
				deployment.call(streamCaller, (caller+number)%deploymentEntries)
			}
		})
	}
	for entry := range deploymentEntries / 2 {
		require.NoError(t, deployment.processes[entry].Signal(syscall.SIGHUP))
		deployment.restart(entry)
	}
	group.Wait()
	deployment.reportViolations()
	truncated := int64(0)
	for _, runner := range deployment.runners {
		truncated += runner.Truncated()
	}
	t.Logf("%d streams were served whole, %d were broken off at runners", deployment.served.Load(), truncated)
	assert.Greater(t, deployment.served.Load(), int64(50), "hardly any stream was served")
	assert.Greater(t, truncated, int64(50), "hardly any stream was broken off")
}
