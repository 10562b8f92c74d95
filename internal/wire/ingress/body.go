package ingress

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	// bodyTimeout bounds the time in which a body arrives, for callers without a time limit.
	bodyTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body until a configuration has been received.
	defaultBodyBytes = 4 << 20
	// overloadRetryAfter is the Retry-After of a call refused because of that bound.
	overloadRetryAfter = 500 * time.Millisecond
)

// bodyLimit returns the limit of the size of a body in bytes.
func (server *Server) bodyLimit() int {
	if limit := server.limits.Limits().BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

// bodyRefusal returns the refusal of a call whose body could not be read.
func bodyRefusal(callRequest call.Request, err error) *call.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return call.Refuse(call.ReasonTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, tcp.ErrNoRoom):
		return call.Refuse(call.ReasonQueueFull, "%v", err).WithRetryAfter(overloadRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return call.Refuse(call.ReasonDeadline, "the body did not arrive within %v", bodyTime(callRequest))
	}
	return call.Refuse(call.ReasonMalformed, "the body could not be read: %v", err)
}

// bodyTime returns the time in which the body of a call must arrive: the time limit of its caller, if it gave one.
func bodyTime(callRequest call.Request) time.Duration {
	if callRequest.Opaque.TimeLimit > 0 {
		return callRequest.Opaque.TimeLimit
	}
	return bodyTimeout
}

// readBody returns the body of a call, of at most limit bytes, if it arrives in time and there is room for it.
func readBody(writer http.ResponseWriter, incoming *http.Request, limit int, callRequest call.Request, memory *tcp.Body) ([]byte, error) {
	if incoming.ContentLength == 0 {
		return nil, nil
	}
	if incoming.ContentLength > int64(limit) {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	controller := http.NewResponseController(writer)
	if err := controller.SetReadDeadline(callRequest.Arrived.Add(bodyTime(callRequest))); err != nil {
		return nil, err
	}
	body, err := memory.ReadAll(http.MaxBytesReader(writer, incoming.Body, int64(limit)), incoming.ContentLength, limit)
	if err != nil {
		return nil, err
	}
	// After the deadline, net/http would take the caller for disconnected.
	return body, controller.SetReadDeadline(time.Time{})
}
