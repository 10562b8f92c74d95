package backend

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

const (
	// maxSyncBodyBytes is the size up to which a body is written before the answer is
	// read. A larger one is written at the same time, since a server may answer without
	// reading it.
	maxSyncBodyBytes = 2 << 10
	// maxLateAnswers bounds the late answers to earlier calls that one call skips.
	maxLateAnswers = 2
)

// errNoAnswer means that a connection that had carried an earlier call ended before the first byte of an answer.
var errNoAnswer = errors.New("the connection ended before an answer")

// Answer is the answer of a server, of which the head has been read and the body has not.
type Answer struct {
	pool     *pool
	conn     *conn
	server   directory.Server
	codec    Codec
	request  call.Request
	response *http.Response
	head     call.AnswerHead
	// written receives the result of writing the call; it is nil for a call that was
	// written before its answer was read.
	written chan error
	// detach stops the context from closing the connection, and returns false if the
	// context has already done so.
	detach func() bool
	// announced has the names of the fields of the trailer that the head announces.
	announced http.Header
	// err is what ended the body: [io.EOF] once the whole body was read, or the error that ended it early.
	err error
}

// Head returns the status and the header fields of the answer.
func (answer *Answer) Head() call.AnswerHead { return answer.head }

// Read reads from the body; [io.EOF] means that the body is complete. Read returns no bytes together with another error.
//
// The error wraps [call.ErrMalformed] if the server wrote bytes that are not the rest of the answer. Bytes that the parser read together
// with such an error are dropped, since they may be what is wrong.
func (answer *Answer) Read(buffer []byte) (int, error) {
	if answer.err != nil {
		return 0, answer.err
	}
	count, err := answer.response.Body.Read(buffer)
	if errors.Is(err, io.EOF) && isChunked(answer.response) && answer.response.Body != http.NoBody {
		err = answer.chunksEnd()
	}
	if errors.Is(err, io.EOF) && endsWithConnection(answer.response) {
		err = answer.connectionEnd()
	}
	switch {
	case err == nil:
		return count, nil
	case errors.Is(err, io.EOF):
		answer.err = io.EOF
		return count, io.EOF
	}
	answer.err = answer.conn.parserError("body", err)
	if count > 0 && !errors.Is(answer.err, call.ErrMalformed) {
		return count, nil // The next call returns the error.
	}
	return 0, answer.err
}

// chunksEnd returns [io.EOF] behind the last chunk of the body, or an error that wraps [call.ErrMalformed] if what follows it shows that it
// was not the last one.
func (answer *Answer) chunksEnd() error {
	if name := trailerFault(answer.response.Trailer, answer.announced); name != "" {
		return malformed("trailer", "a field that the head did not announce", []byte(name))
	}
	return answer.conn.chunksEnd()
}

// connectionEnd returns [io.EOF] behind a body that ends with the connection, or an error if the call was not written whole.
//
// The kernel returns the error of a connection once. If the write of the call sees a reset first, reading then ends in order.
func (answer *Answer) connectionEnd() error {
	if answer.written == nil {
		return io.EOF
	}
	answer.conn.close() // A write that still waits will never be read.
	if err := <-answer.written; err != nil {
		return fmt.Errorf("body that ends with the connection, while the call was written: %w", errors.Join(io.ErrUnexpectedEOF, err))
	}
	return io.EOF
}

// Close returns the connection to the pool if it can be reused, or else closes it, which cancels
// the work at the server.
func (answer *Answer) Close() {
	cancelled := !answer.detach()
	if cancelled || !answer.reusable() {
		answer.conn.close()
		return
	}
	answer.conn.received = nil
	answer.pool.put(answer.conn)
}

// reusable reports whether the connection can carry another call, and sets how long it may be idle.
func (answer *Answer) reusable() bool {
	if !errors.Is(answer.err, io.EOF) || answer.response.Close || endsWithConnection(answer.response) {
		return false
	}
	if answer.written != nil {
		select {
		case err := <-answer.written:
			if err != nil {
				return false
			}
		default:
			return false // The server answered before it read the whole call.
		}
	}
	if answer.head.Status >= http.StatusBadRequest {
		answer.conn.failed = append(answer.conn.failed, answer.request.ID)
		if len(answer.conn.failed) > maxFailedIDs {
			return false
		}
	}
	if answer.conn.reader.Buffered() > 0 {
		return false // Bytes after the answer belong to no call.
	}
	if seconds, ok := keepAliveTimeout(answer.response.Header.Get("Keep-Alive")); ok {
		answer.conn.maxIdleTime = min(defaultMaxIdleTime, time.Duration(seconds)*time.Second-keepAliveMargin)
	}
	return answer.head.ID == answer.request.ID
}

// send writes the call. A call with a large body is written while the answer is read.
func (answer *Answer) send(head, body []byte) {
	if len(body) <= maxSyncBodyBytes {
		_, _ = answer.conn.Write(append(head, body...)) // A failed write also makes the read of the answer fail.
		return
	}
	answer.written = make(chan error, 1)
	go func() {
		message := net.Buffers{head, body} // not a copy of both, since bodies may have megabytes
		_, err := message.WriteTo(answer.conn.Conn)
		answer.written <- err
	}()
}

// readHead reads the head of the answer, and skips late answers to earlier calls.
//
// On a connection that was used before, an answer without an id may be one of these too, so it is malformed.
func (answer *Answer) readHead() error {
	answer.conn.headBytes, answer.conn.recording = maxHeadBytes, true
	defer func() { answer.conn.headBytes = unlimited }()
	if _, err := answer.conn.reader.Peek(1); err != nil {
		if answer.conn.reused && isClosed(err) {
			return fmt.Errorf("%w: %w", errNoAnswer, err)
		}
		return err
	}
	leaving := false
	for range maxLateAnswers + 1 {
		response, err := answer.readResponse() //nolint:bodyclose // the body is read through the answer and ends with the connection
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = answer.readResponse() //nolint:bodyclose // as above
		}
		if err != nil {
			return answer.conn.parserError("head", err)
		}
		answer.response, answer.announced = response, maps.Clone(response.Trailer)
		answer.head = answer.codec.Head(response.StatusCode, response.Header)
		answer.head.Length = response.ContentLength
		answer.head.EndsWithConnection = endsWithConnection(response)
		// A late answer to an earlier call says as much of the server as the one to this call.
		leaving = leaving || answer.head.Leaving
		answer.head.Leaving = leaving
		if answer.head.ID == answer.request.ID || answer.head.ID == "" && !answer.conn.reused {
			if !isChunked(response) { // Nothing but chunks has a framing after the head.
				answer.conn.recording, answer.conn.received = false, nil
			}
			return nil
		}
		if answer.head.ID == "" {
			return fmt.Errorf("%w: no id on a connection that was used before", call.ErrMalformed)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return answer.conn.parserError("body of a late answer", err)
		}
	}
	return fmt.Errorf("%w: too many answers to earlier calls on the connection", call.ErrMalformed)
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && !isChunked(response)
}

// isChunked reports whether the body of a response, if it has one, is in chunks.
func isChunked(response *http.Response) bool { return len(response.TransferEncoding) > 0 }

// isClosed reports whether an error means that the peer has closed or reset the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// readResponse reads the head of one response. Its body is read through the answer and ends with
// the connection.
func (answer *Answer) readResponse() (*http.Response, error) {
	if err := answer.conn.awaitProtocol(); err != nil {
		return nil, err
	}
	start := answer.conn.consumed()
	response, err := http.ReadResponse(answer.conn.reader, &http.Request{Method: answer.request.Opaque.Method})
	if err != nil {
		return nil, err
	}
	head := answer.conn.received[start:answer.conn.consumed()]
	if fault := headFault(response, head); fault != "" {
		return nil, malformed("head", fault, head)
	}
	return response, nil
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field, in seconds.
func keepAliveTimeout(value string) (int, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(number)
			return seconds, err == nil
		}
	}
	return 0, false
}
