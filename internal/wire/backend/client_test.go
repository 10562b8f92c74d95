package backend_test

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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// codec sends the request id in the field "Id" and reads it from there.
type codec struct{}

func (codec codec) Fields(_ directory.Server, request call.Request, _ time.Duration) []call.HeaderField {
	return []call.HeaderField{{Name: "Id", Value: request.ID}}
}

func (codec codec) Head(status int, header http.Header) call.AnswerHead {
	return call.AnswerHead{Status: status, ID: header.Get("Id"), Leaving: header.Get("Leaving") == "1"}
}

// script is a server that sends the given answers to the successive requests of each connection,
// with "ID" replaced by the request's id.
type script struct {
	listener    net.Listener
	connections atomic.Int32
	answers     []string
	// unread reports whether the server answers without reading the body.
	unread bool
	// end is the end of the connection after the last answer: "close", "reset" or empty for none.
	end string
}

func serve(t *testing.T, script *script) directory.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	script.listener = listener
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			script.connections.Add(1)
			go script.run(conn)
		}
	}()
	return directory.Server{ID: "s1", Address: listener.Addr().String()}
}

func (script *script) run(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for _, answer := range script.answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !script.unread {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", request.Header.Get("Id")))
	}
	switch script.end {
	case "close":
		_ = conn.Close()
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func request(id string, body int) call.Request {
	return call.Request{ID: id, Deadline: time.Now().Add(5 * time.Second), Opaque: call.Opaque{
		Method: http.MethodPost, Target: "/notes/1?q=%2F", Host: "a.example", Body: make([]byte, body),
	}}
}

// fetch returns the body of the answer to a call, and its failure or the error of reading the body.
func fetch(client *backend.Client, server directory.Server, request call.Request) (string, error) {
	answer, failure := client.Open(context.Background(), server, request, always)
	if failure != nil {
		return "", failure
	}
	defer answer.Close()
	body, err := io.ReadAll(answerReader{answer})
	return string(body), err
}

type answerReader struct{ answer *backend.Answer }

func (reader answerReader) Read(buffer []byte) (int, error) { return reader.answer.Read(buffer) }

// Guards against answers that are taken for those of another call, truncated answers that look
// complete, and connections that are reused after a fault on them.
func TestAnswersOfFaultyServers(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	type want struct {
		body  string
		cause call.Cause
		// truncated reports whether reading the body must fail.
		truncated bool
	}
	hello := want{body: "hello"}
	cases := []struct {
		name        string
		script      *script
		body        int
		want        []want
		connections int32
	}{
		{"a kept connection", &script{answers: []string{complete, complete}}, 10, []want{hello, hello}, 1},
		{"the server closes after its answer", &script{answers: []string{complete}, end: "close"}, 10, []want{hello, hello}, 2},
		{"Connection: close", &script{answers: []string{strings.Replace(complete, "Id", "Connection: close\r\nId", 1)}}, 10, []want{hello, hello}, 2},
		{"a second answer behind the first", &script{answers: []string{complete + complete}}, 10, []want{hello, hello}, 2},
		{"bytes behind the answer", &script{answers: []string{complete + "xyz"}}, 10, []want{hello, hello}, 2},
		{"a late answer to another call", &script{answers: []string{strings.Replace(complete, "ID", "other", 1) + complete}}, 10, []want{hello}, 1},
		{"an answer that is cut off", &script{answers: []string{complete[:len(complete)-2]}, end: "close"}, 10, []want{{truncated: true}}, 1},
		{"an answer without a length", &script{answers: []string{"HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhello"}, end: "close"}, 10, []want{hello, hello}, 2},
		{"an answer without a length that is reset", &script{answers: []string{"HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhel"}, end: "reset"}, 10, []want{{truncated: true}}, 1},
		{"an answer without a length that is reset after its last byte", &script{answers: []string{"HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhello"}, end: "reset"}, 10, []want{{truncated: true}}, 1},
		{"chunks that are cut off", &script{answers: []string{"HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n"}, end: "close"}, 10, []want{{truncated: true}}, 1},
		{"a second answer without an id on a used connection", &script{answers: []string{complete, strings.Replace(complete, "Id: ID\r\n", "", 1)}}, 10, []want{hello, {cause: call.CauseMalformed}}, 1},
		{"an answer without an id on a new connection", &script{answers: []string{strings.Replace(complete, "Id: ID\r\n", "", 1)}}, 10, []want{hello}, 1},
		{"bytes that are no answer", &script{answers: []string{"garbage\r\n\r\n"}}, 10, []want{{cause: call.CauseMalformed}}, 1},
		{"no answer", &script{answers: []string{""}, end: "close"}, 10, []want{{cause: call.CauseReset}}, 1},
		{"an answer before the body is read", &script{answers: []string{complete}, unread: true}, 8 << 20, []want{hello, hello}, 2},
		{"an interim answer", &script{answers: []string{"HTTP/1.1 100 Continue\r\n\r\n" + complete}}, 10, []want{hello}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := serve(t, c.script), backend.New(codec{})
			for i, want := range c.want {
				body, err := fetch(client, server, request(fmt.Sprint("r", i), c.body))
				switch {
				case want.cause != "":
					var failure *call.Failure
					require.ErrorAs(t, err, &failure)
					assert.Equal(t, want.cause, failure.Cause)
					assert.Equal(t, call.RanUnknown, failure.Ran)
				case want.truncated:
					assert.Error(t, err)
				default:
					require.NoError(t, err)
					assert.Equal(t, want.body, body)
				}
			}
			assert.Equal(t, c.connections, c.script.connections.Load())
		})
	}
}

// Guards against an answer without a length that looks complete because the entry itself ended its connection, at the call's time limit
// or when the caller left.
func TestAnswerWithoutALengthThatTheEntryEndsIsNotComplete(t *testing.T) {
	server := serve(t, &script{answers: []string{"HTTP/1.1 200 OK\r\nId: ID\r\n\r\nhel"}})
	ctx, cancel := context.WithCancel(context.Background())
	answer, failure := backend.New(codec{}).Open(ctx, server, request("r", 1), nil)
	require.Nil(t, failure)
	defer answer.Close()
	begun := make([]byte, len("hel"))
	_, err := io.ReadFull(answerReader{answer}, begun)
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(answerReader{answer})
	assert.Error(t, err)
}

// Guards against a call that is reported as possibly run although no connection to its server was established.
func TestUnreachedServerDidNotRunTheCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	server := directory.Server{ID: "s1", Address: listener.Addr().String()}
	_, failure := backend.New(codec{}).Open(context.Background(), server, request("r", 1), nil)
	require.NotNil(t, failure)
	assert.Equal(t, call.RanNo, failure.Ran)
	assert.Equal(t, call.CauseConnect, failure.Cause)
}

// Guards against work that continues at a server after the caller has disconnected.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, failure := backend.New(codec{}).Open(ctx, directory.Server{ID: "s1", Address: listener.Addr().String()}, request("r", 1), nil)
	require.NotNil(t, failure)
	assert.Equal(t, call.CauseCancelled, failure.Cause)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open 5 s after its context was cancelled")
	}
}

// Guards against idle connections to servers that no longer exist, which take up file descriptors
// and may lead to another server at the same address.
func TestRemovedServersHaveNoIdleConnections(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	removed, kept := &script{answers: []string{complete, complete}}, &script{answers: []string{complete, complete}}
	client := backend.New(codec{})
	servers := []directory.Server{serve(t, removed), serve(t, kept)}
	servers[1].ID = "s2"
	for range 2 {
		for i, server := range servers {
			_, err := fetch(client, server, request(fmt.Sprint("r", i), 1))
			require.NoError(t, err)
		}
		client.CloseIdleExcept(func(key string) bool { return key == backend.ConnectionKey(servers[1]) })
	}
	assert.EqualValues(t, 2, removed.connections.Load())
	assert.EqualValues(t, 1, kept.connections.Load())
}

// Guards against a caller that gets the answer to an earlier call, because a server sends a second copy of that answer
// late, on a connection that carries the next call by then.
func TestLateCopyOfAnAnswerIsNotTheNextCallersAnswer(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	copyOfFirst := strings.ReplaceAll(strings.Replace(complete, "hello", "first", 1), "ID", "r0")
	// The copy is sent once the next call has been read, so that no check before that call can see it.
	script := &script{answers: []string{strings.Replace(complete, "hello", "first", 1), copyOfFirst + complete}}
	server, client := serve(t, script), backend.New(codec{})
	for i, want := range []string{"first", "hello"} {
		body, err := fetch(client, server, request(fmt.Sprint("r", i), 1))
		require.NoError(t, err)
		assert.Equal(t, want, body)
	}
	assert.EqualValues(t, 1, script.connections.Load())
}

// Guards against a call that is reported as not run although it may have run: it is sent on a used connection that the
// server closes unanswered, and again on a new one, which is refused.
func TestCallSentOnAClosedConnectionMayHaveRun(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	for _, repeatable := range []bool{true, false} {
		script := &script{answers: []string{complete, ""}, end: "close"}
		server, client := serve(t, script), backend.New(codec{})
		_, err := fetch(client, server, request("r0", 1))
		require.NoError(t, err)
		require.NoError(t, script.listener.Close())
		repeat := always
		if !repeatable {
			repeat = nil
		}
		_, failure := client.Open(t.Context(), server, request("r1", 1), repeat)
		require.NotNil(t, failure)
		assert.Equal(t, call.RanUnknown, failure.Ran, "repeatable: %v", repeatable)
		assert.EqualValues(t, 1, script.connections.Load())
	}
}

// always allows each call to be sent again.
func always() bool { return true }

// Guards against calls that are sent again without a limit while servers lose their answers: each loss on a connection that was
// used before doubled a call, beyond the retry budget.
func TestCallIsSentAgainOnlyIfAllowed(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	for _, allowed := range []bool{true, false} {
		script := &script{answers: []string{complete, ""}, end: "close"}
		server, client := serve(t, script), backend.New(codec{})
		_, err := fetch(client, server, request("r0", 1))
		require.NoError(t, err)
		asked := 0
		answer, failure := client.Open(t.Context(), server, request("r1", 1), func() bool {
			asked++
			return allowed
		})
		assert.Equal(t, 1, asked)
		if allowed {
			require.Nil(t, failure)
			answer.Close()
			assert.EqualValues(t, 2, script.connections.Load())
			continue
		}
		require.NotNil(t, failure)
		assert.Equal(t, call.RanUnknown, failure.Ran)
		assert.EqualValues(t, 1, script.connections.Load())
	}
}

// Guards against a call that may not be repeated and is sent a second time because its connection ended unanswered.
func TestCallThatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	script := &script{answers: []string{complete, ""}, end: "close"}
	server, client := serve(t, script), backend.New(codec{})
	_, err := fetch(client, server, request("r0", 1))
	require.NoError(t, err)
	_, failure := client.Open(t.Context(), server, request("r1", 1), nil)
	require.NotNil(t, failure)
	assert.Equal(t, call.RanUnknown, failure.Ran)
	assert.EqualValues(t, 1, script.connections.Load())
}

// Guards against a call that is reported as not run while the server runs it: the server refused the call before, the call is
// sent to it again on the same connection, and the server first writes the earlier refusal once more, which has the same id.
func TestRefusalWrittenOnceMoreIsNotTheAnswerToTheSameCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nContent-Length: 4\r\n\r\nbusy"
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	for _, c := range []struct {
		name, second string
		connections  int32
	}{
		{"the same call", "r0", 2},
		{"another call", "r1", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := &script{answers: []string{refusal, strings.ReplaceAll(refusal, "ID", "r0") + complete}}
			server, client := serve(t, script), backend.New(codec{})
			body, err := fetch(client, server, request("r0", 1))
			require.NoError(t, err)
			assert.Equal(t, "busy", body)
			_, err = fetch(client, server, request(c.second, 1))
			require.NoError(t, err)
			assert.Equal(t, c.connections, script.connections.Load())
		})
	}
}

// Guards against a server whose word that it is leaving is lost, since it came with a late answer to an earlier call.
func TestLateAnswerSaysThatTheServerIsLeaving(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello"
	late := strings.ReplaceAll(strings.Replace(complete, "Id:", "Leaving: 1\r\nId:", 1), "ID", "r0")
	server, client := serve(t, &script{answers: []string{complete, late + complete}}), backend.New(codec{})
	for i, leaving := range []bool{false, true} {
		answer, failure := client.Open(t.Context(), server, request(fmt.Sprint("r", i), 1), always)
		require.Nil(t, failure)
		_, err := io.ReadAll(answerReader{answer})
		require.NoError(t, err)
		assert.Equal(t, leaving, answer.Head().Leaving)
		answer.Close()
	}
}
