package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// streamRequest returns a streamed request as it is sent.
func streamRequest() string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(streamedBody), streamedBody)
}

// Guards against callers that do not read their stream: their requests never ended, and held a slot of a server. The tests use
// real time, since sockets have no virtual one.
func TestCallerThatDoesNotReadEndsItsRequest(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	url := listen(t, func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		chunk := call.Chunk{Tokens: 1, Text: strings.Repeat("x", 4<<10)}
		var err error
		for ; err == nil; chunk.Offset++ {
			err = exchange.Sink.Send(ctx, chunk)
		}
		ended <- err
		return exchange, err
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, streamRequest())
	require.NoError(t, err)
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(20 * time.Second):
		assert.Fail(t, "the request goes on 20 s after its caller has stopped reading")
	}
}

// Guards against an answer that is cut by the time limit of an earlier answer on the same connection.
func TestTimeLimitOfAnEventEndsWithItsStream(t *testing.T) {
	t.Parallel()
	url := listen(t, func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, exchange.Sink.Send(ctx, call.Chunk{Tokens: 1, Text: "x", Final: true})
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, pause := range []time.Duration{11 * time.Second, 0} {
		_, err = io.WriteString(conn, streamRequest())
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Contains(t, string(body), "[DONE]")
		time.Sleep(pause) // longer than the time limit of an event
	}
}
