package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpserver"
)

// largestBody is the limit of a body in bytes.
const largestBody = 64 << 10

// serveBodies answers requests with the size of their bodies, and counts them.
func serveBodies(t *testing.T) (server *httpserver.Server, runs *atomic.Int64) {
	t.Helper()
	server, err := httpserver.Listen("127.0.0.1:0", largestBody)
	require.NoError(t, err)
	runs = &atomic.Int64{}
	server.POST("/", func(_ context.Context, c *app.RequestContext) {
		runs.Add(1)
		c.String(http.StatusOK, fmt.Sprint(len(c.Request.Body())))
	})
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		assert.NoError(t, <-served)
	})
	return server, runs
}

// exchange sends requests on one connection, and returns the status and body of each answer.
func exchange(t *testing.T, address string, requests ...string) (answers []string) {
	t.Helper()
	conn, err := net.Dial("tcp", address) //nolint:noctx // loopback
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, request := range requests {
		_, _ = io.WriteString(conn, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return append(answers, "none")
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		answers = append(answers, strings.TrimSpace(fmt.Sprintf("%d %s", response.StatusCode, body)))
	}
	return answers
}

const post = "POST / HTTP/1.1\r\nHost: h\r\n"

// Guards against requests inside the limits that are refused or whose memory stays counted, and against those without end that are taken.
func TestRequestsInsideTheLimitsAreAnswered(t *testing.T) {
	server, runs := serveBodies(t)
	whole := post + fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody) + strings.Repeat("x", largestBody)
	chunks := post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\n0123456789abcdef\r\n", largestBody/16) + "0\r\n\r\n"
	assert.Equal(t, []string{"200 65536", "200 0", "200 65536", "200 65536"}, exchange(t, server.Address(), whole, post+"Content-Length: 0\r\n\r\n", chunks, whole))
	assert.Equal(t, []string{"200 0"}, exchange(t, server.Address(), post+"Content-Length: 0\r\nA: "+strings.Repeat("x", 15<<10)+"\r\n\r\n"))
	require.Equal(t, int64(5), runs.Load())
	assert.Equal(t, []string{"400"}, exchange(t, server.Address(), post+"Transfer-Encoding: chunked\r\n\r\n1;"+strings.Repeat("x", 1<<10)))
	assert.Equal(t, []string{"400"}, exchange(t, server.Address(), post+"Transfer-Encoding: chunked\r\n\r\n0\r\n"+strings.Repeat("a: b\r\n", 1<<10)))
	assert.Equal(t, int64(5), runs.Load())
}

// Guards against a request that runs although it was refused for want of room.
func TestRequestWithoutRoomIsRefusedAndDoesNotRun(t *testing.T) {
	server, runs := serveBodies(t)
	server.Guard().SetLimits(intake.Limits{Descriptors: 1})
	assert.Equal(t, []string{"503"}, exchange(t, server.Address(), post+"Content-Length: 0\r\n\r\n"))
	assert.Zero(t, runs.Load())
}

// Guards against large requests that are refused in calm, alone or one after the other while the memory of those before is not collected yet.
func TestLargeRequestsInARowAreServedInCalm(t *testing.T) {
	server, _ := serveBodies(t)
	server.Guard().SetLimits(intake.Limits{Bytes: 720 << 10}) // room for two at once, since a client has its answer before the request has ended
	whole := post + fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody) + strings.Repeat("x", largestBody)
	for call := range 20 {
		assert.Equal(t, []string{"200 65536"}, exchange(t, server.Address(), whole), "call %d", call)
	}
}

// Guards against clients that do not read their answers: their calls never ended and are not closed to make room, so that a few of them took
// all descriptors of an address.
func TestClientThatDoesNotReadEndsItsCall(t *testing.T) {
	t.Parallel()
	server, _ := serveBodies(t)
	server.GET("/long", func(_ context.Context, c *app.RequestContext) {
		c.Data(http.StatusOK, "text/plain", make([]byte, 16<<20))
	})
	conn, err := net.Dial("tcp", server.Address()) //nolint:noctx // loopback
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	held := func(want int64) func() bool {
		return func() bool { _, descriptors := server.Guard().Held(); return descriptors == want }
	}
	require.Eventually(t, held(2), 5*time.Second, time.Millisecond)
	assert.Eventually(t, held(0), 20*time.Second, 10*time.Millisecond, "the call goes on")
}
