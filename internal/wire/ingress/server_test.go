package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/ingress"
)

// codec reads the request id from the field "Id" and the caller's time limit from "Patience".
type codec struct{}

func (codec codec) Call(incoming *http.Request) (call.Request, *call.Refusal) {
	timeLimit, _ := time.ParseDuration(incoming.Header.Get("Patience"))
	return call.Request{ID: incoming.Header.Get("Id")}.WithOpaque(call.Opaque{
		Method: incoming.Method, Target: incoming.RequestURI, Host: incoming.Host, TimeLimit: timeLimit,
	}), nil
}

type limits struct{}

func (limits limits) Limits() route.Limits { return route.Limits{BodyBytes: 1000} }

func listen(t *testing.T, handle request.HandlerFunc) *ingress.Server {
	t.Helper()
	return listenWith(t, handle, request.Recorders{})
}

func listenWith(t *testing.T, handle request.HandlerFunc, recorder ingress.Recorder) *ingress.Server {
	t.Helper()
	return listenLimited(t, handle, recorder, limits{})
}

func listenLimited(t *testing.T, handle request.HandlerFunc, recorder ingress.Recorder, limits ingress.Limits) *ingress.Server {
	t.Helper()
	server, err := ingress.Listen("127.0.0.1:0", codec{}, limits, handle, recorder)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return server
}

// sendRaw sends a message and returns the answer, its body, and the error of reading the body.
func sendRaw(t *testing.T, conn net.Conn, message string) (*http.Response, string, error) {
	t.Helper()
	_, err := io.WriteString(conn, message)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func dial(t *testing.T, server *ingress.Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against refusals with a wrong status, a Retry-After longer than a third of the caller's
// remaining time, and failures that have the status of a refusal.
func TestErrorsHaveTheirStatus(t *testing.T) {
	cases := []struct {
		err    error
		status int
		// retryAfter is a prefix of the Retry-After field, empty for an answer without the field.
		retryAfter string
	}{
		{call.Refuse(call.ReasonOverLimit, "x").WithRetryAfter(200 * time.Millisecond), 429, "0.200"},
		{call.Refuse(call.ReasonNoBackend, "x").WithRetryAfter(time.Minute), 503, "1."},
		{call.Refuse(call.ReasonUnknownRoute, "x"), 404, ""},
		{call.Refuse(call.ReasonUnauthenticated, "x"), 401, ""},
		{call.Refuse(call.ReasonStoreUnavailable, "x"), 503, ""},
		{&call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}, 502, ""},
		{&call.Failure{Ran: call.RanUnknown, Cause: call.CauseTimeout}, 504, ""},
		{errors.New("x"), 500, ""},
	}
	for _, c := range cases {
		server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) { return exchange, c.err })
		response, _, err := sendRaw(t, dial(t, server), "GET / HTTP/1.1\r\nHost: a\r\nPatience: 4s\r\n\r\n")
		require.NoError(t, err)
		assert.Equal(t, c.status, response.StatusCode, c.err)
		assert.True(t, strings.HasPrefix(response.Header.Get("Retry-After"), c.retryAfter), "%v: %s", c.err, response.Header.Get("Retry-After"))
		assert.Equal(t, c.retryAfter == "", response.Header.Get("Retry-After") == "")
	}
}

// Guards against an answer that breaks off and looks complete to a caller with HTTP/1.0, to which the end of the connection is the end
// of the answer, and against a complete one that looks broken off.
func TestBrokenAnswerLooksBrokenToCallersWithoutChunks(t *testing.T) {
	for _, broken := range []bool{false, true} {
		received := make(chan struct{})
		server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			require.NoError(t, exchange.Reply.Begin(call.AnswerHead{Status: http.StatusOK, Length: -1, Stream: true}))
			require.NoError(t, exchange.Reply.Write([]byte("id: 1\n\n")))
			<-received
			if broken {
				return exchange, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}
			}
			return exchange, nil
		})
		conn := dial(t, server)
		_, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		event := make([]byte, len("id: 1\n\n"))
		_, err = io.ReadFull(response.Body, event)
		require.NoError(t, err)
		close(received)
		rest, err := io.ReadAll(response.Body)
		assert.Empty(t, rest)
		if broken {
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			assert.NoError(t, err)
		}
	}
}

// Guards against a truncated answer that looks complete to the caller.
func TestBrokenAnswerLooksBroken(t *testing.T) {
	for name, head := range map[string]call.AnswerHead{
		"stream":      {Status: 200, Length: -1, Stream: true},
		"with length": {Status: 200, Length: 10},
	} {
		server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
			_ = exchange.Reply.Begin(head)
			_ = exchange.Reply.Write([]byte("hello"))
			return exchange, &call.Failure{Ran: call.RanYes, Cause: call.CauseReset}
		})
		conn := dial(t, server)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		assert.Error(t, err, name)
	}
}

// Guards against a call that is lost because the stopping entry closes its idle connection while
// the call is in transit.
func TestKeptConnectionsEndWithAnAnswer(t *testing.T) {
	server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		_ = exchange.Reply.Begin(call.AnswerHead{Status: 200, Length: 2})
		return exchange, exchange.Reply.Write([]byte("ok"))
	})
	conn := dial(t, server)
	const message = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	response, body, err := sendRaw(t, conn, message)
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
	assert.False(t, response.Close)
	server.DisableKeepAlives()
	time.Sleep(50 * time.Millisecond) // If the server closed the idle connection, the client would see that by now.
	response, body, err = sendRaw(t, conn, message)
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
	assert.True(t, response.Close)
}

// Guards against calls that are cut off unanswered in a planned stop under load: the balancer sends new connections for
// some time after the entry has turned unready, and a listener that closes resets those that it has not accepted yet.
func TestCallsThatArriveDuringAStopAreAnswered(t *testing.T) {
	server, err := ingress.Listen("127.0.0.1:0", codec{}, limits{}, request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		time.Sleep(5 * time.Millisecond)
		return exchange, call.Refuse(call.ReasonStopping, "stopping")
	}), request.Recorders{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	var callers sync.WaitGroup
	var cut, answered atomic.Int32
	sendUntil := time.Now().Add(600 * time.Millisecond)
	for range 16 {
		callers.Go(func() {
			for time.Now().Before(sendUntil) {
				conn, err := net.Dial("tcp", server.Address())
				if err != nil {
					continue // A caller that was refused the connection knows that its call has not been read.
				}
				_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\nId: r\r\n\r\n")
				if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
					cut.Add(1)
				} else {
					answered.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	server.DisableKeepAlives()
	quietCtx, stopWaiting := context.WithTimeout(ctx, 5*time.Second)
	defer stopWaiting()
	server.AwaitQuiet(quietCtx)
	cancel()
	callers.Wait()
	assert.NoError(t, <-ended)
	assert.Zero(t, cut.Load(), "calls cut off beside %d answered ones", answered.Load())
	assert.Positive(t, answered.Load())
}

// Guards against a stop that never ends because callers keep coming.
func TestWaitForTheLastCallsIsBounded(t *testing.T) {
	server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		return exchange, call.Refuse(call.ReasonStopping, "stopping")
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			conn, err := net.Dial("tcp", server.Address())
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	startedAt := time.Now()
	server.AwaitQuiet(ctx)
	assert.InDelta(t, time.Second.Seconds(), time.Since(startedAt).Seconds(), 0.3)
}

// Guards against work that continues after its caller has disconnected.
func TestCallerThatLeavesEndsTheContext(t *testing.T) {
	ended := make(chan struct{})
	server := listen(t, func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
		<-ctx.Done()
		close(ended)
		return exchange, ctx.Err()
	})
	conn := dial(t, server)
	_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the context has not ended 5 s after the caller disconnected")
	}
}

// Guards against request smuggling by ambiguous lengths, and against bodies that are changed or
// exceed the limit.
func TestBodies(t *testing.T) {
	bodies := make(chan string, 10)
	server := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		bodies <- exchange.Request.Opaque.Target + " " + string(exchange.Request.Opaque.Body)
		_ = exchange.Reply.Begin(call.AnswerHead{Status: 200, Length: 0})
		return exchange, nil
	})
	cases := []struct {
		name, head, body string
		status           int
		want             string
	}{
		{"length", "Content-Length: 5", "hello", 200, "/x hello"},
		{"chunks", "Transfer-Encoding: chunked", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", 200, "/x hello"},
		{"both, of which the length is ignored", "Content-Length: 3\r\nTransfer-Encoding: chunked", "5\r\nhello\r\n0\r\n\r\n", 200, "/x hello"},
		{"two lengths", "Content-Length: 5\r\nContent-Length: 6", "hello!", 400, ""},
		{"no number", "Content-Length: +5", "hello", 400, ""},
		{"an unknown coding", "Transfer-Encoding: gzip, chunked", "0\r\n\r\n", 501, ""},
		{"too long", "Content-Length: 1001", "", 413, ""},
		{"too long in chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 1001, strings.Repeat("x", 1001)), 413, ""},
	}
	for _, c := range cases {
		response, _, err := sendRaw(t, dial(t, server), "POST /x HTTP/1.1\r\nHost: a\r\n"+c.head+"\r\n\r\n"+c.body)
		require.NoError(t, err, c.name)
		assert.Equal(t, c.status, response.StatusCode, c.name)
		if c.want != "" {
			assert.Equal(t, c.want, <-bodies, c.name)
		}
	}
	assert.Empty(t, bodies)
}

// recordedResults is a recorder that keeps what it receives.
type recordedResults chan request.Result

func (recordedResults recordedResults) Record(result request.Result) { recordedResults <- result }

// Guards against calls that are refused before the request path and leave no trace in the log and the metrics.
func TestCallsRefusedBeforeTheHandlerAreRecorded(t *testing.T) {
	results := make(recordedResults, 10)
	server := listenWith(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		t.Error("a refused call reached the handler")
		return exchange, nil
	}, results)
	for head, reason := range map[string]call.Reason{
		"Content-Length: 1001\r\n\r\n":                                          call.ReasonTooLarge,
		"Patience: 50ms\r\nContent-Length: 9\r\n\r\n":                           call.ReasonDeadline,
		"Transfer-Encoding: chunked\r\n\r\nno chunk\r\n":                        call.ReasonMalformed,
		"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001): call.ReasonTooLarge,
	} {
		_, _, err := sendRaw(t, dial(t, server), "POST /x HTTP/1.1\r\nHost: a\r\nId: r1\r\n"+head)
		require.NoError(t, err)
		result := <-results
		var refusal *call.Refusal
		require.ErrorAs(t, result.Err, &refusal)
		assert.Equal(t, reason, refusal.Reason)
		assert.Equal(t, "r1", result.Exchange.Request.ID)
		assert.Less(t, result.Duration, 5*time.Second)
	}
}
