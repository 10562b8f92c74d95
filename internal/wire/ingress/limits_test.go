package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/ingress"
)

// largestHead is the limit of the fields of a head in the tests, above the default.
const largestHead = 128 << 10

type headLimits struct{}

func (headLimits headLimits) Limits() route.Limits {
	return route.Limits{HeaderBytes: largestHead, BodyBytes: 1000}
}

// listenForHeads serves calls with heads up to largestHead, and counts them.
func listenForHeads(t *testing.T, runs *atomic.Int64) *ingress.Server {
	t.Helper()
	return listenLimited(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		runs.Add(1)
		return exchange, exchange.Reply.Begin(call.AnswerHead{Status: http.StatusOK, Length: 0})
	}, request.Recorders{}, headLimits{})
}

// status sends pieces with a pause between them, and returns the status of the answer, 0 without one.
func status(t *testing.T, server *ingress.Server, pause time.Duration, pieces ...string) int {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address()) //nolint:noctx // loopback
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for _, piece := range pieces {
		_, _ = io.WriteString(conn, piece)
		time.Sleep(pause) // In real time, so that the kernel sends the pieces in separate packets.
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against callers inside the limits of the configuration that are refused, and heads over the limit that are not.
func TestHeadLimitIsThatOfTheConfiguration(t *testing.T) {
	var runs atomic.Int64
	server := listenForHeads(t, &runs)
	const begin = "GET / HTTP/1.1\r\nHost: h\r\n"
	assert.Equal(t, http.StatusOK, status(t, server, 0, begin+"A: "+strings.Repeat("x", largestHead-20)+"\r\n\r\n"), "one long field")
	assert.Equal(t, http.StatusOK, status(t, server, 0, begin+strings.Repeat("a: b\r\n", largestHead/6-10)+"\r\n"), "many fields")
	assert.Equal(t, http.StatusOK, status(t, server, 5*time.Millisecond, strings.SplitAfter(begin+"\r\n", "")...), "one byte at a time")
	assert.Equal(t, int64(3), runs.Load())
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(t, server, 0, begin+"A: "+strings.Repeat("x", largestHead+32<<10)+"\r\n\r\n"), "over the limit")
	assert.Equal(t, int64(3), runs.Load())
}

// Guards against a call that runs although it was refused for want of room.
func TestCallWithoutRoomIsRefusedAndDoesNotRun(t *testing.T) {
	var runs atomic.Int64
	server := listenForHeads(t, &runs)
	server.Guard().SetLimits(intake.Limits{Descriptors: 1})
	assert.Equal(t, http.StatusServiceUnavailable, status(t, server, 0, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.Zero(t, runs.Load())
}
