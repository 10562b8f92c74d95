package tcp_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// listenWithBodies serves requests with bodies of at most 64 KiB.
func listenWithBodies(t *testing.T, limits intake.Limits) (*tcp.Guard, string) {
	t.Helper()
	guard := tcp.NewGuard(func() int { return 8 << 10 })
	guard.SetLimits(limits)
	listener, err := tcp.ListenGuarded("127.0.0.1:0", guard)
	require.NoError(t, err)
	server := &http.Server{
		ConnContext: tcp.ConnContext, ConnState: guard.ConnState, ReadTimeout: 5 * time.Second,
		Handler: guard.Handler(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
			if _, err := io.Copy(io.Discard, incoming.Body); err != nil {
				writer.WriteHeader(http.StatusInternalServerError)
			}
		}), 64<<10),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return guard, listener.Addr().String()
}

// Guards against clients that announce bodies, send none, and so take the room of health checks: such a connection must be closed for another.
func TestUnfinishedBodiesMakeRoomForOrdinaryRequests(t *testing.T) {
	guard, address := listenWithBodies(t, intake.Limits{Descriptors: 6})
	for range 6 {
		open(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	}
	awaitDescriptors(t, guard, 6)
	time.Sleep(100 * time.Millisecond) // The handler has the requests.
	assert.Equal(t, "HTTP/1.1 200", read(t, open(t, address, get)))
}

// Guards against a large request that is refused although there is room for it.
func TestLargeRequestIsServedInCalm(t *testing.T) {
	_, address := listenWithBodies(t, intake.Limits{Bytes: 240 << 10})
	const size = 64 << 10
	text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
	assert.Equal(t, "HTTP/1.1 200", read(t, open(t, address, text)))
}
