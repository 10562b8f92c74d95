package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

const (
	// smallBody is the size up to which a body is written before the answer is
	// awaited; a server that answers early need not read a longer one.
	smallBody = 2 << 10
	// maxLateAnswers bounds the late answers that are passed over on one connection.
	maxLateAnswers = 2
)

var errMalformed = errors.New("malformed answer")

// Answer is the answer of a server, whose head is there.
type Answer struct {
	pool     *pool
	conn     *conn
	server   directory.Server
	codec    Codec
	request  call.Request
	response *http.Response
	head     call.AnswerHead
	// written gets the end of the writing of the call, nil when it ended before the answer was awaited.
	written  chan error
	uncancel func() bool
	// complete is set when the whole body was read.
	complete bool
}

// Head returns the head of the answer.
func (answer *Answer) Head() call.AnswerHead { return answer.head }

// Read reads from the body; [io.EOF] means that the answer is complete.
func (answer *Answer) Read(piece []byte) (int, error) {
	count, err := answer.response.Body.Read(piece)
	if errors.Is(err, io.EOF) {
		answer.complete = true
	}
	return count, err
}

// Close keeps the connection if the answer is complete, or else closes it, which cancels the work at the server.
func (answer *Answer) Close() {
	cancelled := !answer.uncancel()
	if cancelled || !answer.reusable() {
		answer.conn.close()
		return
	}
	answer.pool.put(answer.conn)
}

func (answer *Answer) reusable() bool {
	if !answer.complete || answer.response.Close || answer.response.ContentLength < 0 && len(answer.response.TransferEncoding) == 0 {
		return false
	}
	if answer.written != nil {
		select {
		case err := <-answer.written:
			if err != nil {
				return false
			}
		default:
			return false // The server answered before it read the call.
		}
	}
	if answer.conn.reader.Buffered() > 0 {
		return false // Bytes behind the answer belong to no call.
	}
	if seconds, ok := stated(answer.response.Header.Get("Keep-Alive")); ok {
		answer.conn.limit = min(idleLimit, time.Duration(seconds)*time.Second-idleMargin)
	}
	return answer.head.ID == answer.request.ID
}

// send writes the call, a long one while the answer is awaited.
func (answer *Answer) send(head, body []byte) {
	if len(body) <= smallBody {
		_, _ = answer.conn.Write(append(head, body...)) // Reading the answer shows the error too.
		return
	}
	answer.written = make(chan error, 1)
	go func() {
		_, err := answer.conn.Write(append(head, body...))
		answer.written <- err
	}()
}

// readHead reads the head of the answer to this call.
func (answer *Answer) readHead() error {
	for range maxLateAnswers + 1 {
		response, err := answer.readResponse() //nolint:bodyclose // the body is read through the answer and ends with the connection
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = answer.readResponse() //nolint:bodyclose // as above
		}
		if err != nil {
			return readError(err)
		}
		answer.response = response
		answer.head = answer.codec.Head(response.StatusCode, response.Header)
		answer.head.Length = response.ContentLength
		if answer.head.ID == "" || answer.head.ID == answer.request.ID {
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return readError(err)
		}
	}
	return fmt.Errorf("%w: answers to other calls", errMalformed)
}

// readResponse reads one head. Its body is read through the answer and ends with the connection.
func (answer *Answer) readResponse() (*http.Response, error) {
	return http.ReadResponse(answer.conn.reader, &http.Request{Method: answer.request.Opaque.Method})
}

func readError(err error) error {
	if strings.HasPrefix(err.Error(), "malformed") || strings.HasPrefix(err.Error(), "net/http") {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	return err
}

// stated returns the idle time in a Keep-Alive field, in seconds.
func stated(value string) (int, bool) {
	for parameter := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(number)
			return seconds, err == nil
		}
	}
	return 0, false
}
