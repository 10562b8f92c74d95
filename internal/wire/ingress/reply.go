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

// reply passes the answer of a server on to the caller.
type reply struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	begun   bool
	stream  bool
}

// Begin passes the head on; the head of a stream at once.
func (reply *reply) Begin(head call.AnswerHead) error {
	header := reply.writer.Header()
	for _, field := range head.Fields {
		header.Add(field.Name, field.Value)
	}
	if head.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(head.Length, 10))
	}
	reply.begun, reply.stream = true, head.Stream
	reply.writer.WriteHeader(head.Status)
	return nil
}

// Write passes a piece of the body on.
func (reply *reply) Write(piece []byte) error {
	if _, err := reply.writer.Write(piece); err != nil {
		return err
	}
	if !reply.stream {
		return nil
	}
	return reply.flusher.Flush()
}

// statuses are the HTTP statuses of refusals; all others are 503.
var statuses = map[call.Reason]int{
	call.ReasonMalformed:       http.StatusBadRequest,
	call.ReasonUnauthenticated: http.StatusUnauthorized,
	call.ReasonUnknownRoute:    http.StatusNotFound,
	call.ReasonTooLarge:        http.StatusRequestEntityTooLarge,
	call.ReasonOverLimit:       http.StatusTooManyRequests,
}

// waitShare is the part of the caller's remaining time after which it is told to come again at most.
const waitShare = 3

func writeError(writer http.ResponseWriter, request call.Request, err error) {
	status, code := http.StatusInternalServerError, "Internal"
	var refusal *call.Refusal
	var failure *call.Failure
	switch {
	case errors.As(err, &refusal):
		status, code = http.StatusServiceUnavailable, string(refusal.Reason)
		if known, ok := statuses[refusal.Reason]; ok {
			status = known
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
	body, encoding := json.Marshal(struct{ Code, Message string }{code, err.Error()})
	if encoding != nil {
		body = []byte(`{"Code":"Internal"}`)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = writer.Write(body) // A caller that left needs no answer.
}

// retryAfter returns when the caller may come again, within a part of the time that it has left.
func retryAfter(request call.Request, refusal *call.Refusal) time.Duration {
	wait := refusal.RetryAfter
	if patience := request.Opaque.Patience; patience > 0 {
		left := patience - time.Since(request.Arrived)
		wait = min(wait, left/waitShare)
	}
	return time.Duration(math.Max(0, float64(wait)))
}
