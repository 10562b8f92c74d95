package httpclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// detailBytes bounds how much of a server's answer an error quotes.
const detailBytes = 200

// ClassifyError classes the error of a call by whether its work may have run.
func ClassifyError(ctx context.Context, err error, step, peer string) *call.Failure {
	failure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: step, Peer: peer, Detail: err.Error()}
	var connect *connectError
	switch {
	case errors.As(err, &connect):
		failure.Ran, failure.Cause = call.RanNo, call.CauseConnect
	case errors.Is(context.Cause(ctx), context.Canceled):
		failure.Cause = call.CauseCancelled
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		failure.Cause = call.CauseTimeout
	}
	return failure
}

// ClassifyStatus classes an answer that is an error of the backend server itself.
//
// 429 and 503 say by their definition (RFC 6585, RFC 9110) that the server did
// not take the work; any other error leaves it open.
func ClassifyStatus(status int, body []byte, step, peer string) *call.Failure {
	failure := &call.Failure{
		Ran:    call.RanUnknown,
		Cause:  call.CauseStatus,
		Step:   step,
		Peer:   peer,
		Detail: fmt.Sprintf("status %d: %s", status, body[:min(len(body), detailBytes)]),
	}
	if Busy(status) {
		failure.Ran, failure.Cause = call.RanNo, call.CauseBusy
	}
	return failure
}

// Busy reports whether a status says that the server did not take the work.
func Busy(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
