package main_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
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
	soak := newSoak(t, 0)
	soak.awaitServing(0)
	for _, runner := range soak.runners {
		runner.SetEndless(true)
	}
	var calls sync.WaitGroup
	for range endlessCalls {
		calls.Go(func() { soak.call(2, 0) })
	}
	calls.Wait()
	peak := peakMemory(t, soak.processes[0])
	t.Logf("peak of the resident memory: %d MB", peak)
	assert.Less(t, peak, smallestVMMemory, "peak of the resident memory in MB")
	served := soak.served.Load()
	for range 20 {
		soak.call(0, 0)
	}
	assert.GreaterOrEqual(t, soak.served.Load()-served, int64(15), "the entry does not serve other calls")
}

// peakMemory returns the peak of the resident memory of a process, in MB.
func peakMemory(t *testing.T, process *process.Process) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.ID()))
	require.NoError(t, err)
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	require.NotNil(t, match, "the process has ended")
	peak, err := strconv.Atoi(string(match[1]))
	require.NoError(t, err)
	return peak / 1024
}
