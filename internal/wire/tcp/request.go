package tcp

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
)

// endCall gives back what the request and its call held, and begins to wait for the next request.
func (conn *Conn) endCall() {
	conn.holdOnly(0)
	conn.head = intake.Head{}
	conn.guard.countRequestGarbage(conn.requestBytes.Swap(0))
	conn.setPhase(intake.PhaseIdle)
}

// BeginBody begins to wait for the body of a request whose head is whole.
func (conn *Conn) BeginBody() {
	if conn != nil {
		conn.setPhase(intake.PhaseBody)
	}
}

// addBody counts memory of a body in bytes, and reports whether there is room for it. A large piece waits until garbage is collected or the
// channel is closed.
func (conn *Conn) addBody(bytes int64, done <-chan struct{}) bool {
	return (bytes <= smallRequest || conn.guard.awaitCollection(done, requestCollectWait)) && conn.guard.add(conn, bytes, 0)
}

// BeginCall begins a call, which is not closed to make room for others, and reports whether there is room for it and the connection is open.
func (conn *Conn) BeginCall() bool {
	if conn == nil {
		return true
	}
	if !conn.guard.add(conn, callCost, 1) {
		conn.guard.recorder.RecordClosed(ReasonNoRoom)
		return false
	}
	if !conn.setPhase(intake.PhaseCall) {
		conn.giveBack(callCost, 1)
		return false
	}
	return true
}

// Handler returns a handler that refuses requests with a body of more than bodyBytes or of unknown length, and those for which there is no
// room. It reads bodies whole before the call begins, since a connection with a call in progress is not closed to make room for others.
func (guard *Guard) Handler(next http.Handler, bodyBytes int64) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		conn := ConnOf(incoming.Context())
		conn.BeginBody()
		body := conn.NewBody(1)
		defer body.Release()
		status := body.replaceBodyOf(incoming, bodyBytes)
		if conn.IsClosed() {
			panic(http.ErrAbortHandler) // net/http would wait for half a second until the client has read an answer.
		}
		if status == http.StatusOK && !conn.BeginCall() {
			status = http.StatusServiceUnavailable
		}
		if status != http.StatusOK {
			writer.Header().Set("Connection", "close")
			writer.WriteHeader(status)
			return
		}
		next.ServeHTTP(writer, incoming)
	})
}

// replaceBodyOf replaces the body of a request by its content in memory, and returns the status of the refusal if it cannot be taken.
func (body *Body) replaceBodyOf(incoming *http.Request, limit int64) (status int) {
	if incoming.ContentLength < 0 || incoming.ContentLength > limit {
		return http.StatusRequestEntityTooLarge
	}
	content, err := body.ReadAll(incoming.Body, incoming.ContentLength, int(limit))
	switch {
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	case err != nil:
		return http.StatusBadRequest
	}
	incoming.Body = io.NopCloser(bytes.NewReader(content))
	return http.StatusOK
}
