package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against callers whose body never ends, although a byte arrives now and then: each held its connection and its share
// of the memory for bodies for ever, so that a few of them could have all others refused. The test uses real time, since
// sockets have no virtual one.
func TestBodyThatDoesNotArriveInTimeIsRefused(t *testing.T) {
	t.Parallel()
	server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, exchange.Reply.Begin(call.AnswerHead{Status: http.StatusOK, Length: 0})
	})
	for name, framing := range map[string]string{"length": "Content-Length: 900", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, server)
			_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\nPatience: 500ms\r\n"+framing+"\r\n\r\n")
			require.NoError(t, err)
			drip, stop := context.WithCancel(t.Context())
			defer stop()
			go func() {
				for drip.Err() == nil {
					if _, err := io.WriteString(conn, "1\r\na\r\n"); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
			startedAt := time.Now()
			require.NoError(t, conn.SetReadDeadline(startedAt.Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "no answer 5 s after the caller's time limit of 500 ms")
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "it promises that the call did not run")
			assert.True(t, response.Close)
		})
	}
}

// Guards against sound callers that a time limit cuts: one whose body takes most of its time, and one whose connection has
// carried a call with a time limit that has passed since.
func TestSlowSoundCallersAreAnswered(t *testing.T) {
	t.Parallel()
	server := listen(t, func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		select {
		case <-ctx.Done(): // the caller seems to have disconnected
			return exchange, ctx.Err()
		case <-time.After(600 * time.Millisecond):
		}
		return exchange, exchange.Reply.Begin(call.AnswerHead{Status: http.StatusOK, Length: 0})
	})
	conn := dial(t, server)
	reader := bufio.NewReader(conn)
	for call := range 2 {
		_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: a\r\nPatience: 500ms\r\nContent-Length: 4\r\n\r\nab")
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		_, err = io.WriteString(conn, "cd")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "call %d", call)
		assert.Equal(t, http.StatusOK, response.StatusCode, "call %d", call)
	}
}

// Guards against callers that do not read their answer: their calls never ended, also not at a planned stop.
func TestCallerThatDoesNotReadEndsItsCall(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		err := exchange.Reply.Begin(call.AnswerHead{Status: http.StatusOK, Length: -1, Stream: true})
		for piece := make([]byte, 4<<10); err == nil; {
			err = exchange.Reply.Write(piece)
		}
		ended <- err
		return exchange, err
	})
	_, err := io.WriteString(dial(t, server), "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	select {
	case err := <-ended:
		assert.Error(t, err)
	case <-time.After(20 * time.Second):
		assert.Fail(t, "the call goes on 20 s after its caller has stopped reading")
	}
}
