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

// unfinishedBodies is the number of connections that the guard has room for, each with a body that does not come.
const unfinishedBodies = 6

// awaitedBody is a body that reports each read before it waits for bytes.
type awaitedBody struct {
	io.ReadCloser
	reads chan<- struct{}
}

func (awaited awaitedBody) Read(piece []byte) (int, error) {
	select {
	case awaited.reads <- struct{}{}:
	default:
	}
	return awaited.ReadCloser.Read(piece)
}

// listenWithBodies serves requests with bodies of at most 64 KiB. The guard reports its reads of bodies.
func listenWithBodies(t *testing.T, limits intake.Limits) (guard *tcp.Guard, address string, reads <-chan struct{}) {
	t.Helper()
	reported := make(chan struct{}, unfinishedBodies)
	guard, address = listenGuarded(t, limits, 8<<10, 5*time.Second, func(guard *tcp.Guard) http.Handler {
		guarded := guard.Handler(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
			if _, err := io.Copy(io.Discard, incoming.Body); err != nil {
				writer.WriteHeader(http.StatusInternalServerError)
			}
		}), 64<<10)
		return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
			incoming.Body = awaitedBody{incoming.Body, reported}
			guarded.ServeHTTP(writer, incoming)
		})
	})
	return guard, address, reported
}

// Guards against clients that announce bodies, send none, and so take the room of health checks: such a connection must be closed for another.
func TestUnfinishedBodiesMakeRoomForOrdinaryRequests(t *testing.T) {
	guard, address, reads := listenWithBodies(t, intake.Limits{Descriptors: unfinishedBodies})
	for range unfinishedBodies {
		open(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	}
	awaitDescriptors(t, guard, unfinishedBodies)
	require.Eventually(t, func() bool { return len(reads) == unfinishedBodies }, 5*time.Second, time.Millisecond, "not all connections wait for their bodies")
	assert.Equal(t, "HTTP/1.1 200", read(t, open(t, address, get)))
}

// Guards against a large request that is refused although there is room for it.
func TestLargeRequestIsServedInCalm(t *testing.T) {
	_, address, _ := listenWithBodies(t, intake.Limits{Bytes: 240 << 10})
	const size = 64 << 10
	text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
	assert.Equal(t, "HTTP/1.1 200", read(t, open(t, address, text)))
}

// Guards against large requests one after the other of which one is refused in calm, since the memory of those before is not collected yet.
func TestLargeRequestsInARowAreServedInCalm(t *testing.T) {
	// There is room for two requests at once, since a client has its answer before the server has ended its work on the request.
	guard, address, _ := listenWithBodies(t, intake.Limits{Bytes: 400 << 10})
	const size = 64 << 10
	text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
	for call := range 20 {
		conn := open(t, address, text)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		answer := make([]byte, len("HTTP/1.1 200"))
		_, err := io.ReadFull(conn, answer)
		require.NoError(t, err)
		assert.Equal(t, "HTTP/1.1 200", string(answer), "call %d", call)
		require.NoError(t, conn.Close())
	}
	awaitDescriptors(t, guard, 0)
}
