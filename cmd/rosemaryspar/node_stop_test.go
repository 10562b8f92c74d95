package main_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
	soak := newSoak(t, 0)
	require.Eventually(t, func() bool {
		soak.call(0, 0)
		return soak.served.Load() > 0
	}, 20*time.Second, 20*time.Millisecond, "no entry serves")
	for entry := range soakEntries {
		require.NoError(t, soak.processes[entry].Signal(syscall.SIGTERM))
	}
	// An entry refuses new calls from 2.8 s after the signal on, and then closes its listener.
	time.Sleep(2500 * time.Millisecond)
	var conns []net.Conn
	for entry := range soakEntries {
		require.NoError(t, soak.processes[entry].Signal(syscall.SIGSTOP))
		for range 20 {
			conn, err := net.Dial("tcp", soak.frontAddresses[entry])
			require.NoError(t, err)
			_, err = io.WriteString(conn, "GET /stock/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer k1\r\n\r\n")
			require.NoError(t, err)
			conns = append(conns, conn)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for entry := range soakEntries {
		require.NoError(t, soak.processes[entry].Signal(syscall.SIGCONT))
	}
	for _, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NoError(t, err, "the call was cut off")
		require.NoError(t, conn.Close())
	}
}
