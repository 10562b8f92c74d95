package kv_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

// Guards against tests that fail at their end because a connection that a client has closed has not ended at the stand-in:
// Close failed if one was left after 10 ms.
func TestCloseWaitsForConnectionsToEnd(t *testing.T) {
	server, err := kv.Start("127.0.0.1:0")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /v3/lease/grant HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { _ = conn.Close() })
	assert.NoError(t, server.Close())
}

// Guards against tests that fail at their end because the stand-in is closed right after its start: hertz cannot be shut
// down before it runs.
func TestCloseRightAfterTheStart(t *testing.T) {
	for range 50 {
		server, err := kv.Start("127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, server.Close())
	}
}
