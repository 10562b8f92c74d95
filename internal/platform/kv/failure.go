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

// The gRPC status codes that the gateway passes on and that are told apart here.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeOutOfRange      = 11
)

// ConflictError is a write refused because the key is not as the writer supposed.
type ConflictError struct {
	Key string
	// Current is the item that stands in the way; Found is false if there is none.
	Current Item
	Found   bool
}

// Error names the key and its current revision.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("kv: conflict on %s: current revision %d", conflict.Key, conflict.Current.Revision)
}

// UnansweredError is a call that the service did not answer.
type UnansweredError struct {
	// Sent is false if the call cannot have reached the service, so that a write did not take effect.
	Sent  bool
	Cause error
}

// Error says whether the call was sent.
func (out *UnansweredError) Error() string {
	return fmt.Sprintf("kv: no answer (sent: %t): %v", out.Sent, out.Cause)
}

// Unwrap returns the cause.
func (out *UnansweredError) Unwrap() error { return out.Cause }

// CompactedError is a read or watch of history that the service has forgotten.
type CompactedError struct {
	// Revision is the oldest revision that is still known, 0 if the service did not say.
	Revision int64
}

// Error gives the oldest known revision.
func (compacted *CompactedError) Error() string {
	return fmt.Sprintf("kv: history before revision %d is compacted", compacted.Revision)
}

// TooLargeError is a write refused for the size of its value.
type TooLargeError struct {
	Key string
	// Size is that of the value in bytes.
	Size int
}

// Error gives the size.
func (large *TooLargeError) Error() string {
	return fmt.Sprintf("kv: value of %s too large: %d bytes", large.Key, large.Size)
}

// ErrLeaseLost is returned when a lease has expired or its holder can no longer be sure of it.
var ErrLeaseLost = errors.New("kv: lease lost")

func (client *Client) notSent(cause error) error {
	return fault.Wrap(&UnansweredError{Cause: cause}, stepCall, client.address())
}

// unanswered wraps a transport error; only a failed dial proves that nothing was sent.
func (client *Client) unanswered(cause error) error {
	var operation *net.OpError
	dialled := !errors.As(cause, &operation) || operation.Op != "dial"
	client.failures.Add(1)
	return fault.Wrap(&UnansweredError{Sent: dialled, Cause: cause}, stepCall, client.address())
}

// refused turns an error answer into a typed error.
func (client *Client) refused(reply *http.Response) error {
	var status struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if err := json.NewDecoder(reply.Body).Decode(&status); err != nil {
		return client.unanswered(fmt.Errorf("status %d", reply.StatusCode))
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
		return client.unanswered(errors.New(status.Message))
	}
}
