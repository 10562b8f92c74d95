package tcp_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// Guards against a listener that counts as quiet after a time in which the process accepted nothing, such as a suspension,
// while connections wait in its queue. Sockets have no virtual time.
func TestListenerIsNotQuietWhileConnectionsWait(t *testing.T) {
	const connections = 3
	listener, err := tcp.Listen("127.0.0.1:0")
	require.NoError(t, err)
	for range connections {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		listener.Drain(t.Context())
	}()
	time.Sleep(300 * time.Millisecond)
	accepted := make(chan net.Conn, 2*connections)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- conn
		}
	}()
	<-drained
	require.NoError(t, listener.Close())
	count := 0
	for conn := range accepted {
		count++
		require.NoError(t, conn.Close())
	}
	assert.Equal(t, connections, count)
}

// Guards against a stop that does not end because nothing accepts the connections that wait.
func TestDrainEndsWithItsContext(t *testing.T) {
	listener, err := tcp.Listen("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	listener.Drain(ctx)
	require.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
	require.NoError(t, listener.Close())
}
