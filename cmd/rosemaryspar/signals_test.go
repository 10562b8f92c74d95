package main_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// signalSequences are signals that an entry gets 100 ms apart. Each sequence contains SIGTERM, which the entry must obey.
var signalSequences = [deploymentEntries][]syscall.Signal{
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP},
}

// sendSignals sends a sequence of signals to a process.
func sendSignals(t *testing.T, process *process.Process, signals []syscall.Signal) {
	for _, signal := range signals {
		require.NoError(t, process.Signal(signal))
		time.Sleep(100 * time.Millisecond)
	}
}

// assertOrderlyStop asserts that a process ends by itself with exit code 0, after its last log line.
func assertOrderlyStop(t *testing.T, process *process.Process, name string) {
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	code, err := process.Code(ctx)
	require.NoError(t, err, name)
	assert.Zero(t, code, name)
	assert.True(t, logged(process, `"Message":"stopped"`), "%s ended before it had stopped", name)
}

// logged reports whether the process has printed a line that contains a text.
func logged(process *process.Process, text string) bool {
	return strings.Contains(strings.Join(process.Lines(), "\n"), text)
}

// Guards against a SIGHUP or a second SIGTERM that ends a stopping entry at once, with all calls in progress: the handler of
// SIGHUP was removed at the SIGTERM. Guards also against a reload that is ignored during a stop. The test uses real time,
// since the entries are separate processes.
func TestSignalsWhileAnEntryStopsEndNoCalls(t *testing.T) {
	deployment := newDeployment(t, 0)
	for i := range signalSequences {
		deployment.awaitServing(i)
	}
	deployment.takeFailures()
	for _, runner := range deployment.runners {
		runner.SetWork(time.Second)
	}
	var calls sync.WaitGroup
	for i, signals := range signalSequences {
		for range 5 {
			calls.Go(func() { deployment.call(0, i) })
		}
		time.Sleep(100 * time.Millisecond) // The calls are at their runners then.
		sendSignals(t, deployment.processes[i], signals)
	}
	for i, signals := range signalSequences {
		assertOrderlyStop(t, deployment.processes[i], fmt.Sprint(signals))
	}
	calls.Wait()
	for failure := range deployment.takeFailures() {
		assert.NotZero(t, failure.status, "a call in progress at entry %d ended without an answer: %s", failure.entry, failure.detail)
	}
	deployment.reportViolations()
	assert.True(t, logged(deployment.processes[0], `"Message":"settings reloaded"`), "a reload during the stop is ignored")
}

// Guards against a SIGHUP that ends an entry of the command serve, which had no handler for it, with all requests in
// progress.
func TestHangupDoesNotEndServe(t *testing.T) {
	fleet := newFleet(t, layout{})
	for i, entry := range fleet.entries {
		sendSignals(t, entry, signalSequences[i])
	}
	for i, entry := range fleet.entries {
		assertOrderlyStop(t, entry, fmt.Sprint(signalSequences[i]))
	}
	assert.True(t, logged(fleet.entries[2], "SIGHUP has no effect"), "a SIGHUP leaves no line in the log")
}
