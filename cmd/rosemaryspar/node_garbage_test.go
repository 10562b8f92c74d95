package main_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// Guards against garbage that runners write between the events of a stream and that callers get as events: blocks without an id,
// and ids that do not rise. The test uses real time, since the entries are separate processes.
func TestGarbageBetweenEventsReachesNoCaller(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitServing(0)
	deployment.setRunners((*platform.Runner).SetGarbling, true)
	for number := range 80 {
		deployment.call(2, number%deploymentEntries)
	}
	deployment.reportViolations()
	assert.Greater(t, deployment.served.Load(), int64(20), "hardly any stream was served")
}

// Guards against garbage that runners write anywhere in the bytes of their streams, or as an answer of another type, and that callers get:
// as an event, inside one, or as the end of an answer that is not whole. What runners did to a stream is drawn at random and printed
// with its violation. The test uses real time, since the entries are separate processes.
func TestRawGarbageInStreamsReachesNoCaller(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitAllServing()
	deployment.setRunners((*platform.Runner).SetRawGarbling, true)
	const callers, callsPerCaller, streamCaller = 8, 50, 2
	served := deployment.served.Load()
	var group sync.WaitGroup
	for caller := range callers {
		path := []string{"/stream/x", "/stream/x", "/stream/x", "/stream/once/x"}[caller%4]
		group.Go(func() {
			for number := range callsPerCaller {
				deployment.callPath(streamCaller, (caller+number)%deploymentEntries, path)
			}
		})
	}
	group.Wait()
	served = deployment.served.Load() - served
	garbled := deployment.runs.GarbledKinds()
	t.Logf("%d of %d streams were served whole; runners garbled %v", served, callers*callsPerCaller, garbled)
	deployment.reportViolations()
	assert.Greater(t, served, int64(callers*callsPerCaller/4), "hardly any stream was served; failures: %v", deployment.takeFailures())
	for _, kind := range platform.GarblingKinds() {
		assert.Positive(t, garbled[kind], "no stream was garbled: %s", kind)
	}
}
