package engine_test

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
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

const (
	// maxTaken bounds what a client may take of bytes without end, with what the buffers of both sockets hold.
	maxTaken = 24 << 20
	// maxGivenUp bounds the time until the client closes the connection.
	maxGivenUp = 5 * time.Second
)

// endless answers one request with start and then repeats piece until the client closes the connection. It returns its
// address, the number of bytes that it could write, and a channel that is closed at the end.
func endless(t *testing.T, start, piece string) (address string, taken *atomic.Int64, ended chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	taken, ended = &atomic.Int64{}, make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for text := start; taken.Load() < 4*maxTaken; text = piece {
			count, err := io.WriteString(conn, text)
			taken.Add(int64(count))
			if err != nil {
				return
			}
		}
	}()
	return listener.Addr().String(), taken, ended
}

// Guards against bytes without end in the head or in the body of an answer of a faulty engine or service: the entry kept
// them in memory until the caller's deadline.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const (
		plain  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		failed = "HTTP/1.1 500 Internal Server Error\r\n\r\n"
	)
	long := strings.Repeat("x", 16<<10)
	cases := []struct{ name, start, piece string }{
		{"a status line", "HTTP/1.1 200 ", long},
		{"a field", "HTTP/1.1 200 OK\r\nX: ", long},
		{"many fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 2<<10)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 102 Processing\r\nX: y\r\n\r\n", 1<<10)},
		{"a line of a stream", plain + "data: ", long},
		{"the lines of one event", plain, strings.Repeat("data: x\n", 2<<10)},
		{"comments in a stream", plain, strings.Repeat(": x\n", 4<<10)},
		{"fields of an event that have no meaning", plain, strings.Repeat("retry: 1\n", 2<<10)},
		{"the body of a failure", failed, long},
		{"a chunk's extension", streamHead + "1;", long},
	}
	sends := map[string]func(ctx context.Context, address string) error{
		"completion": func(ctx context.Context, address string) error {
			return engine.New(time.Second).Complete(ctx, server(address), call.Request{ID: "r", Completion: call.Completion{Model: "m", Prompt: "p"}},
				request.SinkFunc(func(context.Context, call.Chunk) error { return nil }))
		},
		"operation": func(ctx context.Context, address string) error {
			_, err := operate(ctx, service.New(time.Second), address, "r")
			return err
		},
	}
	for name, send := range sends {
		for _, c := range cases {
			t.Run(name+", "+c.name, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), 4*maxGivenUp)
				defer cancel()
				address, taken, ended := endless(t, c.start, c.piece)
				var failure *call.Failure
				require.ErrorAs(t, send(ctx, address), &failure)
				assert.NotEqual(t, call.RanNo, failure.Ran)
				select {
				case <-ended:
				case <-time.After(maxGivenUp):
					assert.Fail(t, "the connection was not closed")
				}
				assert.Less(t, taken.Load(), int64(maxTaken))
			})
		}
	}
}
