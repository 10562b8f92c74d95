package http2server_test

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/http2server"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// Guards against calls of peers that are refused in calm or run although they were refused, and against totals that drift.
func TestCallsOfPeersAreBounded(t *testing.T) {
	guard := tcp.NewStreamGuard()
	guard.SetLimits(intake.Limits{Bytes: 4 << 20})
	listener, err := tcp.ListenGuarded("127.0.0.1:0", guard)
	require.NoError(t, err)
	var runs atomic.Int64
	server := http2server.New(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		runs.Add(1)
		_, _ = io.CopyN(writer, incoming.Body, 1<<10)
	}), 8<<20)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	client := httpclient.NewHTTP2(time.Second, time.Minute, nil)
	for _, c := range []struct{ size, status int }{{1 << 20, http.StatusOK}, {2 << 20, http.StatusServiceUnavailable}, {0, http.StatusOK}, {1 << 20, http.StatusOK}} {
		before := runs.Load()
		response, err := client.Post("http://"+listener.Addr().String(), "application/proto", bytes.NewReader(make([]byte, c.size)))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, c.status, response.StatusCode, "a message of %d bytes", c.size)
		assert.Equal(t, c.status == http.StatusOK, runs.Load() > before, "a message of %d bytes", c.size)
	}
	client.CloseIdleConnections()
	assert.Eventually(t, func() bool { held, descriptors := guard.Held(); return held == 0 && descriptors == 0 }, 5*time.Second, time.Millisecond)
}
