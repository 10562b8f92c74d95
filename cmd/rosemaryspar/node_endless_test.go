package main_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	// endlessCalls is the number of calls at the same time whose answers have no end.
	endlessCalls = 32
	// smallestVMMemory is the memory of the smallest VMs, in MB.
	smallestVMMemory = 184
)

// Guards against an event without end that an entry keeps until it has no memory, so that it is killed with the calls of all other
// callers. The test uses real time, since the entries are separate processes.
func TestEventsWithoutEndDoNotUseUpTheMemory(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitServing(0)
	for _, runner := range deployment.runners {
		runner.SetEndless(true)
	}
	var calls sync.WaitGroup
	for range endlessCalls {
		calls.Go(func() { deployment.call(2, 0) })
	}
	calls.Wait()
	peak := peakMemory(t, deployment.processes[0])
	t.Logf("peak of the resident memory: %d MB", peak)
	assert.Less(t, peak, smallestVMMemory, "peak of the resident memory in MB")
	served := deployment.served.Load()
	for range 20 {
		deployment.call(0, 0)
	}
	assert.GreaterOrEqual(t, deployment.served.Load()-served, int64(15), "the entry does not serve other calls")
}
