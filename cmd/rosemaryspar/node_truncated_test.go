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
	soak := newSoak(t, 0)
	soak.awaitAllServing()
	soak.setRunners((*platform.Runner).SetTruncating, true)
	const callers, callsPerCaller, streamCaller = 8, 30, 2
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := range callsPerCaller {
				soak.call(streamCaller, (caller+number)%soakEntries)
			}
		})
	}
	for entry := range soakEntries / 2 {
		require.NoError(t, soak.processes[entry].Signal(syscall.SIGHUP))
		soak.restart(entry)
	}
	group.Wait()
	soak.reportViolations()
	truncated := int64(0)
	for _, runner := range soak.runners {
		truncated += runner.Truncated()
	}
	t.Logf("%d streams were served whole, %d were broken off at runners", soak.served.Load(), truncated)
	assert.Greater(t, soak.served.Load(), int64(50), "hardly any stream was served")
	assert.Greater(t, truncated, int64(50), "hardly any stream was broken off")
}
