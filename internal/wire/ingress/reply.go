package ingress

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// reply relays the answer of a server to the caller.
type reply struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// begun reports whether the head was sent; no other answer is possible then.
	begun bool
	// stream reports whether each piece of the body is flushed.
	stream bool
}

func newReply(writer http.ResponseWriter) *reply {
	return &reply{writer: writer, controller: http.NewResponseController(writer)}
}

// Begin writes the head of the answer; in a stream, the first Write flushes it to the caller.
func (reply *reply) Begin(head call.AnswerHead) error {
	header := reply.writer.Header()
	for _, field := range head.Fields {
		header.Add(field.Name, field.Value)
	}
	if head.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
	reply.begun, reply.stream = true, head.Stream
	err := extendWriteDeadline(reply.controller)
	reply.writer.WriteHeader(head.Status)
	return err
}

// Write writes a piece of the body to the caller, and flushes it if the answer is a stream.
func (reply *reply) Write(piece []byte) error {
	if err := extendWriteDeadline(reply.controller); err != nil {
		return err
	}
	if _, err := reply.writer.Write(piece); err != nil {
		return err
	}
	if !reply.stream {
		return nil
	}
	return reply.controller.Flush()
}

// extendWriteDeadline gives the caller writeTimeout to read what is written next.
func extendWriteDeadline(controller *http.ResponseController) error {
	return controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// refusalStatus is the HTTP status of each reason for a refusal; all other reasons have 503.
var refusalStatus = map[call.Reason]int{
	call.ReasonMalformed:       http.StatusBadRequest,
	call.ReasonUnauthenticated: http.StatusUnauthorized,
	call.ReasonUnknownRoute:    http.StatusNotFound,
	call.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	call.ReasonOverLimit:       http.StatusTooManyRequests,
}

// retryAfterDivisor bounds Retry-After to a third of the time that the caller has left.
const retryAfterDivisor = 3

// writeError answers a call with the status and JSON body of an error.
func writeError(writer http.ResponseWriter, request call.Request, err error) {
	status, code := http.StatusInternalServerError, "Internal"
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case errors.As(err, &refusal):
		status, code = http.StatusServiceUnavailable, string(refusal.Reason)
		if mapped, ok := refusalStatus[refusal.Reason]; ok {
			status = mapped
		}
		if wait := retryAfter(request, refusal); wait > 0 {
			writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		}
	case errors.As(err, &failure):
		status, code = http.StatusBadGateway, string(failure.Cause)
		if failure.Cause == call.CauseTimeout {
			status = http.StatusGatewayTimeout
		}
	}
	body, encodeErr := json.Marshal(struct{ Code, Message string }{code, err.Error()})
	if encodeErr != nil {
		body = []byte(`{"Code":"Internal"}`)
	}
	_ = extendWriteDeadline(http.NewResponseController(writer)) // Without it, a late answer is lost, as after a failed write.
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // A caller that has disconnected needs no answer.
}

// retryAfter returns the time after which the caller may retry, at most a third of the time that it has left.
func retryAfter(request call.Request, refusal *call.Refusal) time.Duration {
	wait := refusal.RetryAfter
	if timeLimit := request.Opaque.TimeLimit; timeLimit > 0 {
		remaining := timeLimit - time.Since(request.Arrived)
		wait = min(wait, remaining/retryAfterDivisor)
	}
	return time.Duration(math.Max(0, float64(wait)))
}
