package tcp_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// listenGuarded serves requests behind a guard with limits and with a limit of the bytes of a head.
func listenGuarded(t *testing.T, limits intake.Limits, headBytes int, readTimeout time.Duration, handler func(guard *tcp.Guard) http.Handler) (guard *tcp.Guard, address string) {
	t.Helper()
	guard = tcp.NewGuard(func() int { return headBytes })
	guard.SetLimits(limits)
	listener, err := tcp.ListenGuarded("127.0.0.1:0", guard)
	require.NoError(t, err)
	server := &http.Server{ConnContext: tcp.ConnContext, ConnState: tcp.ConnState, ReadTimeout: readTimeout, Handler: handler(guard)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return guard, listener.Addr().String()
}

// serveGuarded serves requests without bodies; each call of the path /wait waits until the test ends its wait.
func serveGuarded(t *testing.T, limits intake.Limits) (guard *tcp.Guard, address string, endCalls func()) {
	t.Helper()
	wait := make(chan struct{})
	guard, address = listenGuarded(t, limits, 1<<10, 0, func(guard *tcp.Guard) http.Handler {
		return guard.Handler(http.HandlerFunc(func(_ http.ResponseWriter, incoming *http.Request) {
			if incoming.URL.Path == "/wait" {
				<-wait
			}
		}), 0)
	})
	return guard, address, func() { close(wait) }
}

// open opens a connection and sends a text on it.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address) //nolint:noctx // loopback
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// read returns the first bytes that the server sends, "closed" if it closes the connection, "waits" if it does nothing for 300 ms.
func read(t *testing.T, conn net.Conn) string {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	buffer := make([]byte, 12)
	_, err := io.ReadFull(conn, buffer)
	var timeout net.Error
	switch {
	case err == nil:
		return string(buffer)
	case asTimeout(err, &timeout):
		return "waits"
	}
	return "closed"
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against connections beyond the bound that are kept, and against pressure that closes a call in progress or the newest connection.
func TestConnectionsBeyondTheBoundCloseTheLongestIdleOne(t *testing.T) {
	guard, address, endCalls := serveGuarded(t, intake.Limits{Descriptors: 5})
	calling := open(t, address, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	awaitDescriptors(t, guard, 2)
	first, second := open(t, address, ""), open(t, address, "")
	awaitDescriptors(t, guard, 4)
	third := open(t, address, get)
	assert.Equal(t, "HTTP/1.1 200", read(t, third))
	assert.Equal(t, "closed", read(t, first))
	assert.Equal(t, "waits", read(t, second))
	endCalls()
	assert.Equal(t, "HTTP/1.1 200", read(t, calling))
	require.NoError(t, second.Close())
	require.NoError(t, third.Close())
	require.NoError(t, calling.Close())
	awaitDescriptors(t, guard, 0)
	bytes, _ := guard.Held()
	assert.Zero(t, bytes)
}

// awaitDescriptors waits until the connections hold a number of descriptors.
func awaitDescriptors(t *testing.T, guard *tcp.Guard, count int64) {
	t.Helper()
	require.Eventually(t, func() bool { _, held := guard.Held(); return held == count }, 5*time.Second, time.Millisecond)
}

// Guards against heads that are refused although they are within the limit, and heads or empty lines without end that are not.
func TestHeadsAreBounded(t *testing.T) {
	_, address, _ := serveGuarded(t, intake.Limits{})
	assert.Equal(t, "HTTP/1.1 200", read(t, open(t, address, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 1000)+"\r\n\r\n")))
	assert.Equal(t, "HTTP/1.1 431", read(t, open(t, address, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 20<<10)+"\r\n\r\n")))
	assert.Equal(t, "HTTP/1.1 431", read(t, open(t, address, "GET /"+strings.Repeat("x", 20<<10))))
	kept := open(t, address, get)
	assert.Equal(t, "HTTP/1.1 200", read(t, kept))
	_, err := io.WriteString(kept, strings.Repeat("\r\n", 20<<10))
	require.NoError(t, err)
	_, err = io.ReadAll(kept)
	var timeout net.Error
	assert.False(t, asTimeout(err, &timeout), "the connection is closed")
}

// Guards against unfinished heads that use up the memory: the oldest is closed for the next one, and an ordinary request is answered.
func TestUnfinishedHeadsAreClosedUnderPressure(t *testing.T) {
	_, address, _ := serveGuarded(t, intake.Limits{Bytes: 512 << 10})
	var heads []net.Conn
	for range 20 {
		heads = append(heads, open(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 60)))
		time.Sleep(5 * time.Millisecond) // The order in which the server, with real sockets, takes the heads is that of the list.
	}
	assert.Equal(t, "closed", read(t, heads[0]))
	assert.Equal(t, "waits", read(t, heads[19]))
	assert.Equal(t, "HTTP/1.1 200", read(t, open(t, address, get)))
}

// asTimeout reports whether an error is a timeout.
func asTimeout(err error, timeout *net.Error) bool {
	return errors.As(err, timeout) && (*timeout).Timeout()
}
