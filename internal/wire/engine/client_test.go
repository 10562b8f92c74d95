package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/raw"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/service"
)

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

var (
	oneChunk = event(`{"choices":[{"text":"a "}],"offset":0,"tokens":1}`)
	endChunk = event(`{"choices":[{"text":"","finish_reason":"stop"}],"offset":1,"tokens":0}`) + event("[DONE]") + "0\r\n\r\n"
)

// event returns a server-sent event in a chunk of the transfer encoding.
func event(data string) string {
	text := "data: " + data + "\n\n"
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// script starts a server that answers the first request of each connection with fixed bytes, and returns its address.
//
// The server then closes the connection; after an answer that ends with "..." it waits for the client to close it.
func script(t *testing.T, answer string) string {
	t.Helper()
	server := raw.NewServer(func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		text, keepOpen := strings.CutSuffix(answer, "...")
		_, _ = conn.Write([]byte(text))
		if keepOpen {
			_, _ = bufio.NewReader(conn).ReadByte() // until the client closes
		}
	})
	t.Cleanup(server.Close)
	return server.Address()
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func server(address string) backend.Server {
	return backend.Server{Backend: config.Backend{Name: "s1", Address: address}}
}

// Guards against failures that report that the work did not run although it may have run, and the reverse.
func TestFailuresAreClassedByWhetherTheWorkMayHaveRun(t *testing.T) {
	cases := []struct {
		name, answer string
		ran          call.Ran
		cause        call.Cause
		chunks       int
	}{
		{"answered", streamHead + oneChunk + endChunk, "", "", 2},
		{"connection refused", "", call.RanNo, call.CauseConnect, 0},
		{"closed before the header", "HTTP/1.1", call.RanUnknown, call.CauseReset, 0},
		{"busy", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", call.RanNo, call.CauseBusy, 0},
		{"server error", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops", call.RanUnknown, call.CauseStatus, 0},
		{"cut off in the stream", streamHead + oneChunk, call.RanUnknown, call.CauseReset, 1},
		{"malformed chunk", streamHead + event("{}"), call.RanUnknown, call.CauseMalformed, 0},
		{"no header in time", "...", call.RanUnknown, call.CauseTimeout, 0},
		{"no chunk in time", streamHead + oneChunk + "...", call.RanUnknown, call.CauseTimeout, 1},
	}
	client := engine.New(time.Second)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := closedAddress(t)
			if c.answer != "" {
				address = script(t, c.answer)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			chunks := 0
			err := client.Complete(ctx, server(address), call.Request{Completion: call.Completion{Model: "m", Prompt: "p"}},
				request.SinkFunc(func(context.Context, call.Chunk) error {
					chunks++
					return nil
				}))
			assert.Equal(t, c.chunks, chunks)
			if c.ran == "" {
				require.NoError(t, err)
				return
			}
			var failure *call.Failure
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, c.ran, failure.Ran, failure.Detail)
			assert.Equal(t, c.cause, failure.Cause, failure.Detail)
			assert.Equal(t, "s1", failure.Peer)
		})
	}
}

// Guards against operations of plain services whose failures wrongly report whether they ran: a retry
// would then run them twice, or they would not run at all.
func TestOperationFailuresAreClassedByWhetherTheWorkMayHaveRun(t *testing.T) {
	cases := []struct {
		name, answer string
		ran          call.Ran
		cause        call.Cause
	}{
		{"answered", "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", "", ""},
		{"an error of the service is an answer", "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno", "", ""},
		{"connection refused", "", call.RanNo, call.CauseConnect},
		{"busy", "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n", call.RanNo, call.CauseBusy},
		{"cut off in the body", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nConnection: close\r\n\r\nok", call.RanUnknown, call.CauseReset},
		{"garbage in the framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\ngarbage\r\n", call.RanUnknown, call.CauseMalformed},
		{"no answer in time", "...", call.RanUnknown, call.CauseTimeout},
		{"no body in time", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok...", call.RanUnknown, call.CauseTimeout},
	}
	client := service.New(time.Second)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := closedAddress(t)
			if c.answer != "" {
				address = script(t, c.answer)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			began := time.Now()
			answer, err := client.Do(ctx, server(address), call.Request{
				IdempotencyKey: "k", Operation: call.Operation{Method: "POST", Path: "/orders", Body: []byte("b")},
			})
			assert.Less(t, time.Since(began), 2*time.Second)
			if c.ran == "" {
				require.NoError(t, err)
				assert.Len(t, answer.Body, 2)
				return
			}
			var failure *call.Failure
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, c.ran, failure.Ran, failure.Detail)
			assert.Equal(t, c.cause, failure.Cause, failure.Detail)
		})
	}
}
