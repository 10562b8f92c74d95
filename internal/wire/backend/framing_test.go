package backend_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
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

// rawServer answers the first call with raw pieces, and the calls on further connections with "sound".
type rawServer struct {
	pieces []string
	// end is the end of the first connection: "closed", "reset" or "kept".
	end string
	// reused reports whether another call arrived on the first connection.
	reused atomic.Bool
}

func (raw *rawServer) serve(t *testing.T) directory.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go raw.answer(conn, first)
		}
	}()
	return directory.Server{ID: "s1", Address: listener.Addr().String()}
}

func (raw *rawServer) answer(conn net.Conn, first bool) {
	defer func() { _ = conn.Close() }()
	reader, pieces := bufio.NewReader(conn), raw.pieces
	if !first {
		pieces = []string{"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nsound"}
	}
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	for number, piece := range pieces {
		if number > 0 {
			time.Sleep(5 * time.Millisecond) // The client reads the pieces one by one; the sockets are real.
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(piece, "ID", request.Header.Get("Id")))
	}
	switch {
	case first && raw.end == "closed":
		return
	case first && raw.end == "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	if _, err := http.ReadRequest(reader); err == nil && first {
		raw.reused.Store(true)
	}
}

// How a call ends for its caller.
const (
	complete  = "complete"
	malformed = "malformed"
	// cut is for a connection that ended, or a call whose time is over.
	cut = "cut"
)

// The time limits of calls: one that no load of the machine exceeds, and one for calls that nothing else ends.
const (
	ample = 10 * time.Second
	short = 200 * time.Millisecond
)

// fetchRaw returns the bytes that were read of an answer, how it ended, and its error.
func fetchRaw(t *testing.T, client *backend.Client, server directory.Server, id string, limit time.Duration) (string, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	answer, failure := client.Open(ctx, server, request(id, 1), nil)
	for failure != nil && failure.Ran == call.RanNo && ctx.Err() == nil {
		answer, failure = client.Open(ctx, server, request(id, 1), nil) // Connecting may exceed its timeout on a loaded machine.
	}
	if failure != nil {
		assert.Equal(t, call.RanUnknown, failure.Ran, "%v", failure)
		if failure.Cause == call.CauseMalformed {
			return "", malformed, failure
		}
		return "", cut, failure
	}
	defer answer.Close()
	var body strings.Builder
	piece := make([]byte, 4<<10)
	for {
		count, err := answer.Read(piece)
		body.Write(piece[:count])
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			return body.String(), complete, nil
		}
		assert.Zero(t, count, "bytes together with %v", err)
		again, errAgain := answer.Read(piece)
		assert.Zero(t, again)
		assert.Equal(t, err, errAgain, "the error stays")
		if errors.Is(err, call.ErrMalformed) {
			return body.String(), malformed, err
		}
		return body.String(), cut, err
	}
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
	soundBody   = "event-one\n\nevent-two\n\nevent-six\n\n"
	chunkOne    = "b\r\nevent-one\n\n\r\n"
	chunksRest  = "b\r\nevent-two\n\n\r\nb\r\nevent-six\n\n\r\n0\r\n\r\n"
)

// Guards against garbage in the framing that reaches callers as a part of an answer, that is taken for a crash of the server, or whose
// connection carries another call.
//
// Besides a prefix of the sound body, a caller may get what follows undetectedAfter, since no reader could detect it: bytes inside of a chunk whose size is
// right, of a chunk whose size is garbage but a number, within a length, and in an answer that only the end of its connection ends. What the
// framing shows to be wrong then is still an error.
func TestGarbageInTheFraming(t *testing.T) {
	const withLength = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 33\r\n\r\n"
	contents := []struct{ name, bytes string }{
		{"text with a blank line", "garbage\n\nmore"},
		{"no UTF-8", "\xff\xfe\x80\x00"},
		{"another answer", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n"},
		{"a long line", strings.Repeat("x", 5000) + "\r\n"},
	}
	layers := []struct {
		name, before, after string
		// undetectedAfter is the sound part in front of the garbage if a caller may get bytes that follow it, and limit how many of these.
		undetectedAfter string
		limit           int
		// ends maps contents to the ends of a call whose connection is closed, if that is not malformed.
		ends map[string]string
	}{
		// The other answer has no length, so that it takes up the rest of the connection as the body of a late answer.
		{name: "in front of the head", after: chunkedHead + chunkOne + chunksRest, ends: map[string]string{"another answer": cut}},
		{name: "in the status line", before: "HTTP/1.1 ", after: "200 OK\r\nId: ID\r\nContent-Length: 33\r\n\r\n" + soundBody},
		{name: "in the header", before: "HTTP/1.1 200 OK\r\nId: ID\r\n", after: "Content-Length: 33\r\n\r\n" + soundBody},
		{name: "in place of a chunk's size", before: chunkedHead + chunkOne, after: chunksRest[1:]},
		{name: "in front of a chunk's size", before: chunkedHead + chunkOne, after: chunksRest},
		{name: "inside a chunk", before: chunkedHead + "b\r\nevent", after: "-one\n\n\r\n" + chunksRest, undetectedAfter: "event", limit: 6},
		{name: "behind a chunk's bytes", before: chunkedHead + chunkOne[:len(chunkOne)-2], after: "\r\n" + chunksRest},
		{name: "behind a size that parses", before: chunkedHead + chunkOne + "a\r\n", after: chunksRest, undetectedAfter: "event-one\n\n", limit: 10},
		// A trailer without an end may be garbage or cut off; it counts as cut off.
		{
			name: "in the trailer", before: chunkedHead + chunkOne + chunksRest[:len(chunksRest)-2], after: "\r\n",
			ends: map[string]string{"text with a blank line": cut, "no UTF-8": cut},
		},
		{name: "within a length", before: withLength + "event", after: soundBody[5:], undetectedAfter: "event", limit: 28, ends: map[string]string{
			"text with a blank line": complete, "no UTF-8": complete, "another answer": complete, "a long line": complete,
		}},
		{
			name: "without a frame", before: "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nevent", after: soundBody[5:], undetectedAfter: "event", limit: 1 << 20,
			ends: map[string]string{"text with a blank line": complete, "no UTF-8": complete, "another answer": complete, "a long line": complete},
		},
	}
	for _, layer := range layers {
		for _, content := range contents {
			half := len(content.bytes) / 2
			deliveries := map[string][]string{
				"one write":              {layer.before + content.bytes + layer.after},
				"pieces":                 {layer.before, content.bytes[:half], content.bytes[half:], layer.after},
				"with the bytes before":  {layer.before + content.bytes, layer.after},
				"with the bytes after":   {layer.before, content.bytes + layer.after},
				"cut inside the garbage": {layer.before + content.bytes[:half], content.bytes[half:] + layer.after},
			}
			for delivery, pieces := range deliveries {
				for _, end := range []string{"closed", "reset", "kept"} {
					t.Run(strings.Join([]string{layer.name, content.name, delivery, end}, "/"), func(t *testing.T) {
						t.Parallel()
						raw := &rawServer{pieces: pieces, end: end}
						server, client := raw.serve(t), backend.New(codec{})
						want, limit := cmp.Or(layer.ends[content.name], malformed), ample
						if want == complete && layer.name == "without a frame" && end != "closed" {
							want = cut
						}
						if want == cut && end == "kept" {
							limit = short
						}
						body, ended, err := fetchRaw(t, client, server, "r0", limit)
						if !strings.HasPrefix(soundBody, body) {
							rest, found := strings.CutPrefix(body, layer.undetectedAfter)
							assert.True(t, layer.limit > 0 && found, "got %q", body)
							assert.LessOrEqual(t, len(rest), layer.limit)
							assert.True(t, strings.HasPrefix(content.bytes+layer.after, rest), "got %q", body)
						}
						if end != "reset" || ended != cut { // A reset may overtake the bytes before it.
							assert.Equal(t, want, ended, "%v", err)
						}
						if err != nil {
							assert.Less(t, len(err.Error()), 1<<10)
						}
						second, ended, err := fetchRaw(t, client, server, "r1", ample)
						if want == complete && err != nil {
							return // What follows the length may arrive while the next call is sent, which fails then.
						}
						assert.Equal(t, complete, ended, "%v", err)
						assert.Equal(t, "sound", second)
						assert.False(t, raw.reused.Load(), "the connection carried another call")
					})
				}
			}
		}
	}
}

// Guards against failures that do not say what the server wrote, and against garbage of any length in log lines.
func TestMalformedAnswersAreShown(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for _, c := range []struct{ answer, want string }{
		{"HTTP/1.1 2OO OK\r\n\r\n", `malformed answer: head: malformed HTTP status code at "HTTP/1.1 2OO OK\r\n\r\n"`},
		{"HTTP/1.1 200 OK\r\nId: ID\r\n\xffgarbage\r\n\r\n", `malformed answer: head: malformed MIME header: missing colon at "\xffgarbage\r\n\r\n"`},
		{"HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n", `malformed answer: head: malformed MIME header: missing colon at "` + long[:64] + `"`},
		{chunkedHead + chunkOne + "garbage\r\n", `malformed answer: body: invalid byte in chunk length at "garbage\r\n"`},
		{chunkedHead + chunkOne + "\r\ngarbage\r\n", `malformed answer: body: empty hex number for chunk length`},
		{chunkedHead + chunkOne + long, `malformed answer: body: header line too long at "` + long[:64] + `"`},
		{chunkedHead + "5\r\nhellogarbage", `malformed answer: body: malformed chunked encoding at "garbage"`},
		{chunkedHead + strings.Repeat(chunkOne, 3000) + "garbage\r\n", `malformed answer: body: invalid byte in chunk length at "garbage\r\n"`},
		{chunkedHead + "5\r\nhello\r\n0\r\ngarbage\r\n\r\n", `malformed answer: body: malformed MIME header: missing colon at "garbage\r\n\r\n"`},
	} {
		server := (&rawServer{pieces: []string{c.answer}, end: "closed"}).serve(t)
		_, ended, err := fetchRaw(t, backend.New(codec{}), server, "r0", ample)
		assert.Equal(t, malformed, ended)
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against a server that crashed and counts as one that writes garbage: its connection ends anywhere in a sound answer.
func TestAnswerThatIsCutIsNotMalformed(t *testing.T) {
	for name, sound := range map[string]string{
		"chunks":  chunkedHead + chunkOne + chunksRest,
		"trailer": strings.TrimSuffix(chunkedHead+chunkOne+chunksRest, "\r\n") + "X-Load: 3\r\n\r\n",
		"length":  "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 33\r\n\r\n" + soundBody,
	} {
		for at := range len(sound) {
			for _, end := range []string{"closed", "reset"} {
				server := (&rawServer{pieces: []string{sound[:at]}, end: end}).serve(t)
				body, ended, err := fetchRaw(t, backend.New(codec{}), server, "r0", ample)
				assert.Equal(t, cut, ended, "%s, %s after %q: %v", name, end, sound[:at], err)
				assert.True(t, strings.HasPrefix(soundBody, body), "got %q", body)
			}
		}
	}
}

// Guards against a stream that ends as complete in its middle, because a garbage chunk's size is zero and garbage that looks like fields
// takes the place of a trailer.
func TestTrailerThatWasNotAnnounced(t *testing.T) {
	const announced = "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
	for _, c := range []struct{ name, answer, want string }{
		{"announced", announced + chunkOne + "0\r\nSum: 3\r\n\r\n", complete},
		{"announced and left out", announced + chunkOne + "0\r\n\r\n", complete},
		{"not announced", chunkedHead + chunkOne + "0\r\nid: 2\r\ndata: garbage\r\n\r\n", malformed},
		{"another one announced", announced + chunkOne + "0\r\nSum: 3\r\ndata: \xff\r\n\r\n", malformed},
		{"with the rest of the chunks", chunkedHead + chunkOne + "0\r\ndata: garbage\n\n" + chunksRest, malformed},
	} {
		raw := &rawServer{pieces: []string{c.answer}, end: "kept"}
		server, client := raw.serve(t), backend.New(codec{})
		body, ended, err := fetchRaw(t, client, server, "r0", ample)
		assert.Equal(t, c.want, ended, "%s: %v", c.name, err)
		assert.True(t, strings.HasPrefix("event-one\n\n", body), "%s: got %q", c.name, body)
		if ended != complete {
			second, _, err := fetchRaw(t, client, server, "r1", ample)
			assert.Equal(t, "sound", second, "%s: %v", c.name, err)
			assert.False(t, raw.reused.Load(), "%s: the connection carried another call", c.name)
		}
	}
}

// Guards against a stream that ends as complete in its middle, because a garbage chunk's size is zero.
//
// Not detected: the same where the rest arrives later, or where more garbage lies in front of it. Other bytes behind an answer, such as a second answer,
// do not make it wrong.
func TestChunksBehindTheEndOfChunks(t *testing.T) {
	for _, c := range []struct{ name, behind, want string }{
		{"the rest of the chunks", chunksRest, malformed},
		{"the rest of the chunks, with an extension", "b;x=1" + chunksRest[1:], malformed},
		{"the end of the chunks", "0\r\n\r\n", complete},
		{"a second answer", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", complete},
		{"garbage", "garbage\r\n\r\n", complete},
		{"a number without an end of line", "b", complete},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw := &rawServer{pieces: []string{chunkedHead + chunkOne + "0\r\n\r\n" + c.behind}, end: "kept"}
			server, client := raw.serve(t), backend.New(codec{})
			body, ended, err := fetchRaw(t, client, server, "r0", ample)
			assert.Equal(t, c.want, ended, "%v", err)
			assert.True(t, strings.HasPrefix("event-one\n\n", body), "got %q", body)
			second, _, err := fetchRaw(t, client, server, "r1", ample)
			assert.Equal(t, "sound", second, "%v", err)
			assert.False(t, raw.reused.Load(), "the connection carried another call")
		})
	}
}
