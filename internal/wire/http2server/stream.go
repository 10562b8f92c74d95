package http2server

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	// streamCost is the memory of a stream with its head and its goroutine, in bytes.
	streamCost = 24 << 10
	// byteCost is the memory of each byte of a message in bytes: as it arrives, and in what is decoded from it.
	byteCost = 2
)

// boundStreams returns a handler that reads the message of a call, of at most maxMessage bytes, and refuses the call before it runs if there is
// no room for it.
//
// The next handler reads and writes in memory only. Otherwise, it would keep its buffers, which it takes from a pool and which are as large as
// earlier messages, for as long as a client sends its message or does not read the answer.
func boundStreams(next http.Handler, maxMessage int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		conn := tcp.ConnOf(incoming.Context())
		memory := conn.NewBody(byteCost).WithDone(incoming.Context().Done())
		defer memory.Release()
		message, status := readMessage(writer, incoming, memory, maxMessage)
		if status != http.StatusOK {
			writer.WriteHeader(status)
			return
		}
		incoming.Body, incoming.ContentLength = io.NopCloser(bytes.NewReader(message)), int64(len(message))
		answer := &answer{ResponseWriter: writer, memory: memory, status: http.StatusOK}
		next.ServeHTTP(answer, incoming)
		answer.send(conn)
	})
}

// readMessage returns the message of a call, and the status of the refusal if it cannot be taken.
//
// The timeout is a timer of its own. One that net/http sets for a stream which the client has reset keeps the stream in memory until it expires.
func readMessage(writer http.ResponseWriter, incoming *http.Request, memory *tcp.Body, maxMessage int) (message []byte, status int) {
	if incoming.ContentLength > int64(maxMessage) {
		return nil, http.StatusRequestEntityTooLarge
	}
	timeout := time.AfterFunc(readTimeout, func() { _ = incoming.Body.Close() })
	defer timeout.Stop()
	err := memory.Hold(streamCost)
	if err == nil {
		message, err = memory.ReadAll(http.MaxBytesReader(writer, incoming.Body, int64(maxMessage)), incoming.ContentLength, maxMessage)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, tcp.ErrNoRoom):
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return message, http.StatusOK
}

// answer keeps the answer of a call until it is whole.
type answer struct {
	http.ResponseWriter
	memory *tcp.Body
	status int
	body   bytes.Buffer
	// err is set if there is no room for the answer.
	err error
}

// WriteHeader implements [http.ResponseWriter].
func (answer *answer) WriteHeader(status int) { answer.status = status }

// Write implements [io.Writer].
func (answer *answer) Write(piece []byte) (int, error) {
	if answer.err = answer.memory.Hold(int64(len(piece))); answer.err != nil {
		return 0, answer.err
	}
	return answer.body.Write(piece)
}

// send sends the answer to the client, and closes the connection if the client does not read it. The stream is reset if there was no room,
// since the call has run.
func (answer *answer) send(conn *tcp.Conn) {
	if answer.err != nil {
		panic(http.ErrAbortHandler)
	}
	timeout := time.AfterFunc(writeTimeout, func() {
		if conn != nil {
			_ = conn.Close()
		}
	})
	defer timeout.Stop()
	answer.ResponseWriter.WriteHeader(answer.status)
	_, _ = answer.ResponseWriter.Write(answer.body.Bytes()) // A client that has disconnected needs no answer.
	_ = http.NewResponseController(answer.ResponseWriter).Flush()
}
