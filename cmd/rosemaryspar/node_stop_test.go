package main_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against calls that a stopping entry cuts off because it was not scheduled while they arrived: it took the time
// that it was suspended for a time without calls, and closed its listener with the calls in the queue. The test uses real
// time, since the entry is a separate process.
func TestCallsThatArriveWhileAStoppingEntryIsSuspendedAreAnswered(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitServing(0)
	for entry := range deploymentEntries {
		require.NoError(t, deployment.processes[entry].Signal(syscall.SIGTERM))
	}
	// An entry refuses new calls from 2.8 s after the signal on, and then closes its listener.
	time.Sleep(2500 * time.Millisecond)
	var conns []net.Conn
	for entry := range deploymentEntries {
		require.NoError(t, deployment.processes[entry].Signal(syscall.SIGSTOP))
		for range 20 {
			conn, err := net.Dial("tcp", deployment.frontAddresses[entry])
			require.NoError(t, err)
			_, err = io.WriteString(conn, "GET /stock/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer k1\r\n\r\n")
			require.NoError(t, err)
			conns = append(conns, conn)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for entry := range deploymentEntries {
		require.NoError(t, deployment.processes[entry].Signal(syscall.SIGCONT))
	}
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NoError(t, err, "the call was cut off")
		require.NoError(t, conn.Close())
	}
}

// Guards against calls that a stopping entry takes although they cannot end before it cuts off what is still in progress, among
// them orders that may not be repeated. The test uses real time, since the entries are separate processes.
func TestCallsThatCannotEndBeforeTheStopAreRefused(t *testing.T) {
	const work = 2500 * time.Millisecond
	deployment := newDeployment(t, 0)
	deployment.awaitServing(0)
	for _, runner := range deployment.runners {
		runner.SetWork(work)
	}
	var calls sync.WaitGroup
	send := func(after time.Duration) {
		calls.Go(func() {
			time.Sleep(after)
			deployment.call(0, 0)
		})
	}
	for range 12 { // The entry learns how long orders take.
		send(0)
	}
	calls.Wait()
	deployment.takeFailures()
	served := deployment.served.Load()
	require.NoError(t, deployment.processes[0].Signal(syscall.SIGTERM))
	// The entries of a deployment have 4.1 s for their calls, and cut off what is in progress at 4.6 s.
	const early, late = 5, 10
	for range early {
		send(200 * time.Millisecond)
	}
	for range late {
		send(2300 * time.Millisecond)
	}
	calls.Wait()
	assert.GreaterOrEqual(t, deployment.served.Load()-served, int64(early-2), "calls that could end were not answered, more than lost answers explain")
	refused := 0
	for failure, count := range deployment.takeFailures() {
		if failure.status == http.StatusServiceUnavailable {
			refused += count
		}
	}
	assert.Equal(t, late, refused, "late calls that were refused")
	deployment.reportViolations()
}
