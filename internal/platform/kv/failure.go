package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
)

// The gRPC status codes in error responses of the gateway that the client distinguishes.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeOutOfRange      = 11
)

// ConflictError reports that a write was rejected because the key did not have the expected revision.
type ConflictError struct {
	Key string
	// Current is the item that the key has; Found is false if it has none.
	Current Item
	Found   bool
}

// Error returns a message with the key and its current revision.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("kv: write of %s rejected: its current revision is %d", conflict.Key, conflict.Current.Revision)
}

// UnansweredError reports that the service did not answer a call.
type UnansweredError struct {
	// Sent is false if the call cannot have reached the service, which means that a write did not take effect.
	Sent  bool
	Cause error
}

// Error returns a message that says whether the call may have been sent.
func (unanswered *UnansweredError) Error() string {
	return fmt.Sprintf("kv: call without an answer (sent: %t): %v", unanswered.Sent, unanswered.Cause)
}

// Unwrap returns the cause.
func (unanswered *UnansweredError) Unwrap() error { return unanswered.Cause }

// CompactedError reports a read or watch of history that the service has compacted.
type CompactedError struct {
	// Revision is the oldest revision that is still available, 0 if the service did not report it.
	Revision int64
}

// Error returns a message with the oldest available revision.
func (compacted *CompactedError) Error() string {
	return fmt.Sprintf("kv: history before revision %d is compacted", compacted.Revision)
}

// TooLargeError reports that a write was rejected because its value is too large.
type TooLargeError struct {
	Key string
	// Size is the size of the value in bytes.
	Size int
}

// Error returns a message with the key and the size.
func (tooLarge *TooLargeError) Error() string {
	return fmt.Sprintf("kv: write of %s rejected: its value of %d bytes is too large", tooLarge.Key, tooLarge.Size)
}

// ErrLeaseLost reports that a lease has expired, or that its holder can no longer be sure that it has not.
var ErrLeaseLost = errors.New("kv: lease lost")

// notSentError returns an [UnansweredError] for a call that was abandoned before it was sent.
func (client *Client) notSentError(cause error) error {
	return fault.Wrap(&UnansweredError{Cause: cause}, stepCall, client.address())
}

// unansweredError returns an [UnansweredError] for a transport error, and makes later calls go to the
// next address. Only a failed dial proves that nothing was sent.
func (client *Client) unansweredError(cause error) error {
	var opError *net.OpError
	connected := !errors.As(cause, &opError) || opError.Op != "dial"
	address := client.address() // The one that failed; later calls go to the next.
	client.failures.Add(1)
	return fault.Wrap(&UnansweredError{Sent: connected, Cause: cause}, stepCall, address)
}

// responseError returns the typed error for a response whose status is not 200.
func (client *Client) responseError(reply *http.Response) error {
	var status struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if err := json.NewDecoder(newBoundedReader(reply.Body)).Decode(&status); err != nil {
		return client.unansweredError(fmt.Errorf("HTTP status %d without a gateway error", reply.StatusCode))
	}
	switch {
	case status.Code == codeOutOfRange:
		return &CompactedError{}
	case status.Code == codeNotFound:
		return ErrLeaseLost
	case status.Code == codeInvalidArgument && strings.Contains(status.Message, "too large"):
		return &TooLargeError{}
	case status.Code == codeInvalidArgument:
		return fault.New(stepCall, client.address(), "%s", status.Message)
	default:
		return client.unansweredError(errors.New(status.Message))
	}
}
