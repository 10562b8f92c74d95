package main_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/process"
)

// The limits that the tests of untrusted clients set for the process: crowdMemoryMb is Limits.MemoryMb, and crowdFds is Limits.MaxFds.
const (
	crowdMemoryMb = 64
	crowdFds      = 600
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
