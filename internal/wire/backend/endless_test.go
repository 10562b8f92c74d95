package backend_test

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
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// maxTaken bounds what a client may take of bytes without end: the limit of a head, and what the buffers of both
// sockets hold.
const maxTaken = 24 << 20

// endless is a server that answers each call with start, and then repeats piece until the client closes the connection.
type endless struct {
	start, piece string
	// pause is the time between pieces.
	pause time.Duration
	taken atomic.Int64
	ended chan struct{}
}

func (endless *endless) serve(t *testing.T) directory.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	endless.ended = make(chan struct{})
	go func() {
		defer close(endless.ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		piece := strings.ReplaceAll(endless.start, "ID", request.Header.Get("Id"))
		for endless.taken.Load() < 4*maxTaken {
			count, err := io.WriteString(conn, piece)
			endless.taken.Add(int64(count))
			if err != nil {
				return
			}
			piece = endless.piece
			time.Sleep(endless.pause)
		}
	}()
	return directory.Server{ID: "s1", Address: listener.Addr().String()}
}

// Guards against bytes without end where the head of an answer is due, fast or slow: the parser buffered them until the
// process had no memory, and interim answers without end kept it busy.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	long := strings.Repeat("x", 16<<10)
	cases := []struct {
		name, start, piece string
	}{
		{"a status line", "HTTP/1.1 200 ", long},
		{"no protocol at all", "\x00\x01", long},
		{"a field", "HTTP/1.1 200 OK\r\nId: ID\r\nX: ", long},
		{"many fields", "HTTP/1.1 200 OK\r\nId: ID\r\n", strings.Repeat("X: y\r\n", 2<<10)},
		{"interim answers", "", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1<<10)},
		{"answers to other calls", "", strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", 1<<10)},
		{"the body of an answer to another call", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000000\r\n\r\n", long},
		{"the chunks of an answer to another call", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + long + "\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := &endless{start: c.start, piece: c.piece}
			_, failure := backend.New(codec{}).Open(t.Context(), server.serve(t), request("r", 1), nil)
			require.NotNil(t, failure)
			assert.Equal(t, call.CauseMalformed, failure.Cause)
			assert.Equal(t, call.RanUnknown, failure.Ran)
			awaitEnd(t, server, 2*time.Second)
			assert.Less(t, server.taken.Load(), int64(maxTaken))
		})
	}
}

// Guards against the same where a body is due: chunk extensions, trailers and chunks of one byte must not be buffered, and
// a body without end is passed on only until the caller's deadline.
func TestBodyWithoutEndIsGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 16<<10)
	cases := []struct {
		name, start, piece string
		pause              time.Duration
	}{
		{"a chunk's extension", chunked + "1;", long, 0},
		{"a chunk's length", chunked, "0", 0},
		{"extensions of many chunks", chunked, "1;" + long[:200] + "\r\nx\r\n", 0},
		{"a trailer", chunked + "0\r\nX: ", long, 0},
		{"chunks", chunked, "4000\r\n" + long + "\r\n", 0},
		{"a length", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 1000000000000\r\n\r\n", long, 0},
		{"no length", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", long, 0},
		{"no length, a byte now and then", "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n", "x", 20 * time.Millisecond},
		{"chunks of a byte now and then", chunked, "1\r\nx\r\n", 20 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := &endless{start: c.start, piece: c.piece, pause: c.pause}
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			answer, failure := backend.New(codec{}).Open(ctx, server.serve(t), request("r", 1), nil)
			require.Nil(t, failure)
			// The caller takes 4 KB every millisecond, so that the client must not read ahead.
			piece := make([]byte, 4<<10)
			for {
				if _, err := answer.Read(piece); err != nil {
					assert.NotErrorIs(t, err, io.EOF, "a body without end is not complete")
					break
				}
				time.Sleep(time.Millisecond)
			}
			answer.Close()
			awaitEnd(t, server, 2*time.Second)
			assert.Less(t, server.taken.Load(), int64(maxTaken))
		})
	}
}

func awaitEnd(t *testing.T, server *endless, limit time.Duration) {
	t.Helper()
	select {
	case <-server.ended:
	case <-time.After(limit):
		t.Errorf("the connection is still open %s after the call has ended", limit)
	}
}

// Guards against a slow stream that is cut although it is sound: between its events there are pauses longer than any
// timeout on the connection but the call's own deadline.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	script := &slowScript{events: 4, pause: 3500 * time.Millisecond}
	server := script.serve(t)
	slow := request("r", 1)
	slow.Deadline = time.Now().Add(time.Minute)
	body, err := fetch(backend.New(codec{}), server, slow)
	require.NoError(t, err)
	assert.Equal(t, strings.Repeat("data: x\n\n", 4), body)
}

// slowScript is a server that streams events with a pause before each.
type slowScript struct {
	events int
	pause  time.Duration
}

func (script *slowScript) serve(t *testing.T) directory.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range script.events {
			time.Sleep(script.pause)
			_, _ = io.WriteString(conn, "9\r\ndata: x\n\n\r\n")
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}()
	return directory.Server{ID: "s1", Address: listener.Addr().String()}
}
