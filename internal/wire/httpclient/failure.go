package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// maxDetailBytes bounds the part of an error answer that is quoted in a failure, in bytes.
const maxDetailBytes = 200

// MalformedError means that a server sent bytes that are no answer to the call.
type MalformedError struct {
	Detail string
}

func (err *MalformedError) Error() string { return err.Detail }

// ClassifyError classifies the error of a call by its cause and by whether the work may have run.
//
// The parameter ctx must be the context of the call. The failure carries step, the stage of the request, and peer,
// the server.
func ClassifyError(ctx context.Context, err error, step, peer string) *call.Failure {
	failure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: step, Peer: peer, Detail: err.Error()}
	var connect *connectError
	var malformed *MalformedError
	switch {
	case errors.As(err, &connect):
		failure.Ran, failure.Cause = call.RanNo, call.CauseConnect
	case errors.As(err, &malformed):
		failure.Cause = call.CauseMalformed
	case errors.Is(context.Cause(ctx), context.Canceled):
		failure.Cause = call.CauseCancelled
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		failure.Cause = call.CauseTimeout
	}
	return failure
}

// ClassifyStatus classifies an answer whose status reports an error of the backend server.
//
// By their definitions (RFC 6585, RFC 9110), 429 and 503 mean that the server did not
// run the work. After any other status the work may have run.
func ClassifyStatus(status int, body []byte, step, peer string) *call.Failure {
	failure := &call.Failure{
		Ran:    call.RanUnknown,
		Cause:  call.CauseStatus,
		Step:   step,
		Peer:   peer,
		Detail: fmt.Sprintf("status %d: %s", status, body[:min(len(body), maxDetailBytes)]),
	}
	if Busy(status) {
		failure.Ran, failure.Cause = call.RanNo, call.CauseBusy
	}
	return failure
}

// Busy reports whether a status means that the server refused the work without running it.
func Busy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
