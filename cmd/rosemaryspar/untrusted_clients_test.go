package main_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// The limits that the tests of untrusted clients set for the process: crowdMemoryMb is Limits.MemoryMb, and crowdFds is Limits.MaxFds.
const (
	crowdMemoryMb = 64
	crowdFds      = 600
	// stopTime is longer than any process takes to stop. It only ends a test whose process does not stop.
	stopTime = 40 * time.Second
)

// checkCrowd lets a crowd act on an address of a process. The process must live, stay within the limits, and serve afterwards.
func checkCrowd(t *testing.T, crowd crowd, address string, target *process.Process, serve func()) {
	t.Helper()
	before := residentMemory(target)
	memory, descriptors := crowd.run(t, address, target)
	t.Logf("resident memory before %.1f MB, at most %.1f MB; at most %d descriptors", float64(before)/(1<<20), float64(memory)/(1<<20), descriptors)
	select {
	case <-target.Ended():
		require.Fail(t, "the process has ended")
	default:
	}
	assert.LessOrEqual(t, memory, int64(crowdMemoryMb<<20), "resident memory")
	assert.LessOrEqual(t, descriptors, crowdFds, "open descriptors")
	serve()
}

// checkStop stops a process while a crowd acts on an address. The process must end in order, and stay within its memory until then.
func checkStop(t *testing.T, crowd crowd, address string, target *process.Process) {
	t.Helper()
	require.NoError(t, target.Signal(syscall.SIGTERM))
	for end := time.Now().Add(stopTime); time.Now().Before(end) && residentMemory(target) > 0; {
		memory, _ := crowd.run(t, address, target)
		assert.LessOrEqual(t, memory, int64(crowdMemoryMb<<20), "resident memory")
	}
	select {
	case <-target.Ended():
		code, err := target.Code(t.Context())
		require.NoError(t, err)
		assert.Zero(t, code, "the exit code; the last lines are %v", target.Lines()[max(0, len(target.Lines())-3):])
	default:
		assert.Fail(t, "the process has not ended")
	}
}

// newLimitedEntry starts one entry with the limits of the tests, before one runner.
func newLimitedEntry(t *testing.T) *deployment {
	t.Helper()
	deployment := newStandIns(t, 1)
	deployment.limits = map[string]any{"MemoryMb": crowdMemoryMb, "MaxFds": crowdFds}
	deployment.putConfiguration("k1")
	deployment.start(1, 1)
	deployment.awaitServing(0)
	return deployment
}

// startLongAnswers starts a server whose answers are long.
func (deployment *deployment) startLongAnswers() {
	server := platform.NewLongServer("i-long")
	deployment.t.Cleanup(server.Close)
	deployment.putServer("i-long", server.Item("long", "a"))
}

// Guards against clients that end an entry by what they make it hold, at its address for callers. Each kind has an entry of its own.
func TestUntrustedCallersDoNotEndAnEntry(t *testing.T) {
	for _, crowd := range crowds() {
		t.Run(crowd.name, func(t *testing.T) {
			deployment := newLimitedEntry(t)
			deployment.startLongAnswers()
			checkCrowd(t, crowd, deployment.frontAddresses[0], deployment.processes[0], func() { deployment.awaitServing(0) })
		})
	}
}

// Guards against the same at the address for the balancer and the metrics.
func TestUntrustedClientsOfTheReadyAddressDoNotEndAnEntry(t *testing.T) {
	for _, crowd := range named("heads_over_the_limit", "heads_without_end", "empty_lines_between_requests", "very_many_fields", "very_many_fields_before_a_body",
		"bodies_that_do_not_end", "idle_connections", "idle_connections_after_a_request", "unread_metrics") {
		t.Run(crowd.name, func(t *testing.T) {
			deployment := newLimitedEntry(t)
			checkCrowd(t, crowd, deployment.readyAddresses[0], deployment.processes[0], func() {
				deployment.awaitServing(0)
				require.NotEmpty(t, scrape(t, deployment.readyAddresses[0]))
			})
		})
	}
}

// Guards against the same at the address for peers.
func TestUntrustedClientsOfThePeerAddressDoNotEndAnEntry(t *testing.T) {
	for _, crowd := range peerCrowds(nodePeerPath) {
		t.Run(crowd.name, func(t *testing.T) {
			deployment := newLimitedEntry(t)
			checkCrowd(t, crowd, deployment.peerAddresses[0], deployment.processes[0], func() { deployment.awaitServing(0) })
		})
	}
}

// Guards against a crowd beside which an entry does not stop in order or takes calls with a key that was removed, and against calls beside it
// that run though they were refused. The crowd comes before, while and after the key is removed, and goes on until the entry has ended.
func TestUntrustedCallersBesideAConfigurationAndAStop(t *testing.T) {
	deployment := newLimitedEntry(t)
	deployment.startLongAnswers()
	deployment.putConfiguration("k1", "k2")
	deployment.awaitServing(0)
	entry, address := deployment.processes[0], deployment.frontAddresses[0]
	var calls sync.WaitGroup
	for _, caller := range []int{0, 1, 2, 7} {
		calls.Go(func() {
			for running := true; running; {
				deployment.call(caller, 0)
				select {
				case <-entry.Ended():
					running = false
				default:
				}
			}
		})
	}
	crowd := severalForms(crowds())
	deployment.putConfiguration("k1")
	deployment.revokedAt.Store(time.Now().UnixNano())
	for range 3 { // longer than a key may still be used
		checkCrowd(t, crowd, address, entry, func() { deployment.awaitServing(0) })
	}
	checkStop(t, crowd, address, entry)
	calls.Wait()
	deployment.reportViolations()
}
