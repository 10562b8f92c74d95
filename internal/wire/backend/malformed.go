package backend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

const (
	// maxFaultBytes bounds the bytes at fault that an error shows.
	maxFaultBytes = 64
	// maxReasonBytes bounds the text of an error of net/http's parser, which may quote a line of any length.
	maxReasonBytes = 128
	// statusesEnd is above all statuses of HTTP.
	statusesEnd = 600
	// protocol begins each head.
	protocol = "HTTP/1."
)

// errHeadTooLong means that more than maxHeadBytes arrived without a complete head.
var errHeadTooLong = fmt.Errorf("%w: no complete head in %d bytes", call.ErrMalformed, maxHeadBytes)

// malformed returns an error that wraps call.ErrMalformed, and shows the beginning of the bytes at fault.
func malformed(part, reason string, fault []byte) error {
	if len(fault) == 0 {
		return fmt.Errorf("%w: %s: %s", call.ErrMalformed, part, reason)
	}
	return fmt.Errorf("%w: %s: %s at %q", call.ErrMalformed, part, reason, fault[:min(len(fault), maxFaultBytes)])
}

// awaitProtocol waits for the beginning of a head, and returns an error as soon as that is no HTTP/1, since the parser waits for the
// end of a line, which garbage need not have.
func (conn *conn) awaitProtocol() error {
	for count := 1; count <= len(protocol); count++ {
		begun, err := conn.reader.Peek(count)
		if err != nil {
			return err
		}
		if begun[count-1] != protocol[count-1] {
			begun, _ = conn.reader.Peek(conn.reader.Buffered())
			return malformed("head", "no HTTP/1", begun)
		}
	}
	return nil
}

// headFault returns what is wrong with a head that the parser accepts, empty for nothing.
func headFault(response *http.Response, head []byte) string {
	if response.StatusCode < http.StatusContinue {
		return "a status below 100" // It would be skipped like an interim answer.
	}
	if response.StatusCode >= statusesEnd {
		return "a status above 599"
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return "a space in a field's name" // The parser would not find the length in "Content-Length : 5".
		}
	}
	if response.ProtoAtLeast(1, 1) {
		return ""
	}
	// The parser ignores a transfer coding in HTTP/1.0 and removes its field. The chunks themselves would be the body (RFC 9112, 6.1).
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return "a transfer coding in HTTP/1.0"
		}
	}
	return ""
}

// parserError returns the error of net/http's parser in a part of an answer: call.ErrMalformed with the bytes at fault, or the
// connection's error if the connection failed or ended there.
//
// The parser's errors have no common type. All that are not due to the connection are of the framing.
func (conn *conn) parserError(part string, err error) error {
	switch {
	case errors.Is(err, call.ErrMalformed):
		return err
	case conn.causes(err) && errors.Is(conn.readErr, io.EOF):
		return fmt.Errorf("%s: %w", part, io.ErrUnexpectedEOF)
	case conn.causes(err):
		return fmt.Errorf("%s: %w", part, conn.readErr)
	}
	reason, fault := err.Error(), conn.lineAtFault()
	switch {
	case reason == "malformed chunked encoding":
		fault = conn.received[max(0, conn.consumed()-len("\r\n")):] // The parser has read two bytes in place of the end of a chunk.
	case strings.HasPrefix(reason, "malformed"):
		reason, _, _ = strings.Cut(reason, ` "`) // It ends with the line, which is the fault already.
		reason = strings.TrimSuffix(reason, ":")
	}
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
	}
	return malformed(part, reason, fault)
}

// chunksEnd returns [io.EOF] behind the last chunk of a body, or call.ErrMalformed if another one follows, since the size of zero was not the
// end of the body then.
func (conn *conn) chunksEnd() error {
	behind, _ := conn.reader.Peek(conn.reader.Buffered())
	line, _, found := bytes.Cut(behind, []byte("\r\n"))
	digits, _, _ := bytes.Cut(line, []byte(";"))
	if size, err := strconv.ParseUint(string(digits), 16, 64); !found || err != nil || size == 0 {
		return io.EOF
	}
	return malformed("body", "a chunk behind the last one", behind)
}

// causes reports whether the connection failed or ended, and the parser's error is due to that.
func (conn *conn) causes(err error) bool {
	if conn.readErr == nil {
		return false
	}
	if errors.Is(err, conn.readErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return true
	}
	// The parser takes the beginning of a line that was cut off for the line.
	cutOff := conn.reader.Buffered() == 0 && !bytes.HasSuffix(conn.received, []byte("\n"))
	return cutOff || httpclient.EndedInTrailer(err)
}

// record keeps the bytes that the parser of the framing reads: all of a head, and of a body at least what the reader has buffered and
// the beginning of a fault before that.
func (conn *conn) record(piece []byte) {
	// Besides the buffer, there is room for the beginning of the line at fault, and for the end of a chunk before it.
	const kept = readBufferBytes + 4*maxFaultBytes
	if conn.headBytes == unlimited {
		piece = piece[max(0, len(piece)-kept):]
		// Bytes are dropped only once there are twice as many, so that few are moved for each read.
		if recorded := len(conn.received); recorded+len(piece) > 2*kept {
			excess := min(recorded, recorded+len(piece)-kept)
			conn.received = conn.received[:copy(conn.received, conn.received[excess:])]
		}
	}
	conn.received = append(conn.received, piece...)
}

// consumed returns the number of recorded bytes that the parser has read.
func (conn *conn) consumed() int { return max(0, len(conn.received)-conn.reader.Buffered()) }

// lineAtFault returns the recorded bytes from the beginning of the line that the parser has read last, none if that is blank.
func (conn *conn) lineAtFault() []byte {
	read := bytes.TrimSuffix(conn.received[:conn.consumed()], []byte("\n"))
	start := bytes.LastIndexByte(read, '\n') + 1
	if len(bytes.TrimSpace(read[start:])) == 0 {
		return nil
	}
	return conn.received[start:]
}

// trailerFault returns the name of a field of a trailer that the head of the answer did not announce, empty for none.
//
// A garbage chunk's size of zero makes the lines behind it a trailer, and the answer would end there as complete. Servers announce the
// fields of a trailer (RFC 9110, 6.6.2), and none of them is passed on.
func trailerFault(trailer, announced http.Header) string {
	for name := range trailer {
		if _, ok := announced[name]; !ok {
			return name
		}
	}
	return ""
}
