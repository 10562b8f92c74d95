package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
)

// ranHeader is the header of an error answer that reports whether the request may have run.
const ranHeader = "X-Ran"

// refusalStatus is the HTTP status of each reason for a refusal; any other reason has 503.
var refusalStatus = map[call.Reason]int{
	call.ReasonMalformed:        http.StatusBadRequest,
	call.ReasonUnauthenticated:  http.StatusUnauthorized,
	call.ReasonUnknownService:   http.StatusNotFound,
	call.ReasonOverLimit:        http.StatusTooManyRequests,
	call.ReasonQueueFull:        http.StatusServiceUnavailable,
	call.ReasonDeadline:         http.StatusServiceUnavailable,
	call.ReasonNoBackend:        http.StatusServiceUnavailable,
	call.ReasonQuarantined:      http.StatusUnprocessableEntity,
	call.ReasonKeyMissing:       http.StatusBadRequest,
	call.ReasonKeyConflict:      http.StatusUnprocessableEntity,
	call.ReasonStopping:         http.StatusServiceUnavailable,
	call.ReasonStoreUnavailable: http.StatusServiceUnavailable,
}

func writeRefusal(c *app.RequestContext, refusal *call.Refusal) {
	writeError(c, refusal)
}

// writeError answers with the status, headers and body of an error.
func writeError(c *app.RequestContext, err error) {
	if wait := retryAfter(err); wait > 0 {
		c.Header("Retry-After", strconv.Itoa(wait))
	}
	ran, body := errorBody(err)
	c.Header(ranHeader, string(ran))
	c.Data(errorStatus(err), "application/json", body)
}

// retryAfter returns the time after which a repeat may succeed, in whole seconds, or 0 for no Retry-After.
func retryAfter(err error) int {
	var refusal *call.Refusal
	var interruption *handover.Interruption
	var wait time.Duration
	switch {
	case errors.As(err, &refusal):
		wait = refusal.RetryAfter
	case errors.As(err, &interruption):
		wait = interruption.RetryAfter
	}
	return int(math.Ceil(wait.Seconds()))
}

// errorEvent returns the type and the data of the event that ends a stream early.
func errorEvent(err error) (string, []byte) {
	var interruption *handover.Interruption
	if !errors.As(err, &interruption) {
		_, body := errorBody(err)
		return "error", body
	}
	body, _ := json.Marshal(struct {
		RequestID         string `json:"RequestId"`
		Tokens            int
		RetryAfterSeconds int
	}{interruption.ID, interruption.Tokens, retryAfter(err)})
	return "handover", body
}

// errorStatus returns the HTTP status of an error that occurred before an answer was sent.
func errorStatus(err error) int {
	var interruption *handover.Interruption
	if errors.As(err, &interruption) {
		return http.StatusServiceUnavailable
	}
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		if status, ok := refusalStatus[refusal.Reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	}
	var failure *call.Failure
	if errors.As(err, &failure) {
		if failure.Cause == call.CauseTimeout || failure.Cause == call.CauseStalled || failure.Cause == call.CauseSlowed {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}

// errorBody returns the body of an error in the OpenAI-compatible format, and whether the request ran.
func errorBody(err error) (call.Ran, []byte) {
	code, ran := "Internal", call.RanUnknown
	var refusal *call.Refusal
	var failure *call.Failure
	var interruption *handover.Interruption
	switch {
	case errors.As(err, &interruption):
		code = "Handover"
	case errors.As(err, &refusal):
		code, ran = string(refusal.Reason), call.RanNo
	case errors.As(err, &failure):
		code, ran = string(failure.Cause), failure.Ran
	}
	body := struct {
		Error struct {
			Message string   `json:"message"`
			Type    string   `json:"type"`
			Code    string   `json:"code"`
			Ran     call.Ran `json:"ran"`
		} `json:"error"`
	}{}
	body.Error.Message, body.Error.Type, body.Error.Code, body.Error.Ran = err.Error(), "rosemaryspar_error", code, ran
	encoded, err := json.Marshal(body)
	if err != nil {
		return ran, []byte(`{"error":{"message":"the error could not be encoded"}}`)
	}
	return ran, encoded
}
