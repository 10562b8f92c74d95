package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/ingress"
)

const (
	// maxBodies bounds the bodies of all calls in progress together.
	maxBodies = 64 << 20
	// largestBody is the limit of one body.
	largestBody = 4 << 20
	// firstBuffer and secondBuffer are the sizes of the buffers of a body in chunks before it gets one of the largest size. While a body
	// is copied to the next buffer, it has both.
	firstBuffer  = 16 << 10
	secondBuffer = 256 << 10
	// awaitTime bounds the wait for calls to arrive, and pollTime is the time between looks.
	awaitTime = 10 * time.Second
	pollTime  = 5 * time.Millisecond
)

type largeLimits struct{}

func (largeLimits largeLimits) Limits() route.Limits { return route.Limits{BodyBytes: largestBody} }

// Guards against bodies of unknown length that take more memory than they reserved, so that an entry with some dozen large ones
// is killed, and against small ones that reserve so much that most calls are refused.
func TestBodiesOfCallsInProgressStayWithinTheirMemory(t *testing.T) {
	cases := []struct {
		name          string
		size, callers int
		isChunked     bool
		// minTaken is the number of calls whose memory suffices even if all bodies arrive at the same time.
		minTaken int
	}{
		{"large, in chunks", largestBody, 40, true, (maxBodies - 40*secondBuffer) / (largestBody + secondBuffer)},
		{"large, with a length", largestBody, 40, false, maxBodies / largestBody},
		{"medium, in chunks", 20 << 10, 300, true, maxBodies / (firstBuffer + secondBuffer)},
		{"small, in chunks", 100, 300, true, 300},
		{"small, with a length", 100, 300, false, 300},
		{"none, in chunks", 0, 300, true, 300},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var taken, bytes atomic.Int64
			release := make(chan struct{})
			server, err := ingress.Listen("127.0.0.1:0", codec{}, largeLimits{}, request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
				taken.Add(1)
				bytes.Add(int64(len(exchange.Request.Opaque.Body)))
				<-release
				return exchange, exchange.Reply.Begin(call.AnswerHead{Status: 200, Length: 0})
			}), request.Recorders{})
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(ctx) }()
			var callers sync.WaitGroup
			answered := make(chan int, c.callers)
			for range c.callers {
				callers.Go(func() { answered <- sendBody(t, server.Address(), c.size, c.isChunked) })
			}
			refused := 0
			assert.Eventually(t, func() bool {
				for len(answered) > 0 {
					assert.Equal(t, http.StatusServiceUnavailable, <-answered)
					refused++
				}
				return int(taken.Load())+refused == c.callers
			}, awaitTime, pollTime, "calls that were neither taken nor refused")
			assert.GreaterOrEqual(t, int(taken.Load()), c.minTaken)
			assert.LessOrEqual(t, bytes.Load(), int64(maxBodies))
			close(release)
			callers.Wait()
			for len(answered) > 0 {
				assert.Equal(t, http.StatusOK, <-answered)
			}
			assert.Equal(t, http.StatusOK, sendBody(t, server.Address(), largestBody, true), "the memory is free again")
			cancel()
			assert.NoError(t, <-ended)
		})
	}
}

// sendBody sends a call with a body and returns the status of its answer, 0 for none.
func sendBody(t *testing.T, address string, size int, isChunked bool) int {
	conn, err := net.Dial("tcp", address)
	if !assert.NoError(t, err) {
		return 0
	}
	defer func() { _ = conn.Close() }()
	body := strings.Repeat("x", size)
	framed := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body)
	if isChunked {
		framed = "Transfer-Encoding: chunked\r\n\r\n"
		if size > 0 {
			framed += fmt.Sprintf("%x\r\n%s\r\n", size, body)
		}
		framed += "0\r\n\r\n"
	}
	// A call that is refused may be answered before its body was read, and the write then fails.
	go func() { _, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a\r\n%s", framed) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if errors.Is(err, net.ErrClosed) || !assert.NoError(t, err) {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
