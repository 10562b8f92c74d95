package backend_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/backend"
)

// Guards against an entry that passes on something that is not the server's answer, because its head says in two ways, or in none that holds, where
// the body ends, or because a server writes other bytes in front of it or behind it.
//
// Not detected: a body longer than its length, whose first bytes count; a head with both a length and chunks, of which the chunks count (RFC 9112, 6.3);
// bytes inside a body without a frame; a reason phrase, which is not passed on; a field of the header that garbage forms; a 204 or 304 with a body;
// a blank line in a head, behind which everything is a body without a frame (a codec can require a field that was in the rest, such as a signature).
func TestFramesOfPlainAnswers(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	cases := []struct{ name, answer, end, want, body string }{
		{"longer than its length", start + "Content-Length: 5\r\n\r\nhello, you", "kept", complete, "hello"},
		{"shorter than its length", start + "Content-Length: 5\r\n\r\nhel", "closed", cut, "hel"},
		{"shorter than its length, and kept", start + "Content-Length: 5\r\n\r\nhel", "kept", cut, "hel"},
		{"two lengths", start + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello", "kept", malformed, ""},
		{"the same length twice", start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "kept", complete, "hello"},
		{"two lengths in one field", start + "Content-Length: 5, 5\r\n\r\nhello", "kept", malformed, ""},
		{"a negative length", start + "Content-Length: -5\r\n\r\nhello", "kept", malformed, ""},
		{"a length with a sign", start + "Content-Length: +5\r\n\r\nhello", "kept", malformed, ""},
		{"a length that is garbage", start + "Content-Length: 5x\r\n\r\nhello", "kept", malformed, ""},
		{"a length that is empty", start + "Content-Length:\r\n\r\nhello", "kept", malformed, ""},
		{"a length beyond 63 bits", start + "Content-Length: 9223372036854775808\r\n\r\nhello", "kept", malformed, ""},
		{"a length and chunks", start + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "kept", complete, "hello"},
		{"a length and chunks, not in chunks", start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello", "kept", cut, ""},
		{"another transfer coding", start + "Transfer-Encoding: gzip\r\n\r\nhello", "closed", malformed, ""},
		{"two transfer codings", start + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "closed", malformed, ""},
		{"two fields with transfer codings", start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "kept", malformed, ""},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "closed", malformed, ""},
		{"chunks in HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nId: ID\r\ntransfer-encoding : chunked\r\nContent-Length: 5\r\n\r\nhello", "closed", malformed, ""},
		{"chunks in HTTP/1.0, a field over two lines", "HTTP/1.0 200 OK\r\nId: ID\r\nTransfer-Encoding:\r\n chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "closed", malformed, ""},
		{"a length in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "closed", complete, "hello"},
		{"204 with a body", "HTTP/1.1 204 No Content\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "kept", complete, ""},
		{"304 with chunks", "HTTP/1.1 304 Not Modified\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "kept", complete, ""},
		{"interim answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 100) + start + "Content-Length: 5\r\n\r\nhello", "kept", complete, "hello"},
		{"interim answers without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 4000), "kept", malformed, ""},
		{"an interim answer with a body", "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhello" + start + "Content-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"a status below 100", "HTTP/1.1 099 OK\r\n\r\n" + start + "Content-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"a status with a sign", "HTTP/1.1 +20 OK\r\n\r\n" + start + "Content-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"a status that is no number", "HTTP/1.1 2x0 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"a status with garbage behind", "HTTP/1.1 200garbage\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"garbage as reason phrase", "HTTP/1.1 200 \xff\x00garbage\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "kept", complete, "hello"},
		{"another version", "HTTP/2.0 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"another protocol", "ICY 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"bytes without a line's end", "garbage", "kept", malformed, ""},
		{"bytes without a line's end, and closed", "garbage", "closed", malformed, ""},
		{"the beginning of a head, then garbage", "HTTgarbage", "kept", malformed, ""},
		{"a blank line in front of the head", "\r\n" + start + "Content-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"a blank line in the head", "HTTP/1.1 200 OK\r\n\r\nId: ID\r\n\r\nhello", "closed", complete, "Id: r0\r\n\r\nhello"},
		{"a field with a control character", start + "X: \x00\r\nContent-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"a field's name with a space", start + "Content-Length : 5\r\n\r\nhello", "closed", malformed, ""},
		{"chunks by a field's name with a space", start + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "closed", malformed, ""},
		{"text with a colon as field", start + "garbage in line 3: x\r\nContent-Length: 5\r\n\r\nhello", "kept", malformed, ""},
		{"garbage as field", start + "garbage: x\r\nContent-Length: 5\r\n\r\nhello", "kept", complete, "hello"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			raw := &rawServer{pieces: []string{c.answer}, end: c.end}
			server, client := raw.serve(t), backend.New(codec{})
			limit := ample
			if c.end == "kept" && c.want == cut {
				limit = short
			}
			body, ended, err := fetchRaw(t, client, server, "r0", limit)
			assert.Equal(t, c.want, ended, "%v", err)
			assert.Equal(t, c.body, body)
			if ended != complete {
				// Nor may what follows be taken for the answer to the next call.
				second, _, err := fetchRaw(t, client, server, "r1", ample)
				assert.Equal(t, "sound", second, "%v", err)
				assert.False(t, raw.reused.Load(), "the connection carried another call")
			}
		})
	}
}
