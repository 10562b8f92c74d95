package request

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Handler handles a request to its end and returns its exchange with the answer.
//
// The error is a [*call.Refusal] when the request did not run, a
// [*call.Failure] when a backend server failed, or any other error for a fault of
// the entry itself or of the connection to the caller. The exchange is valid in all
// these cases, because its decisions explain the error.
type Handler interface {
	Handle(ctx context.Context, exchange Exchange) (Exchange, error)
}

// HandlerFunc adapts a function to [Handler].
type HandlerFunc func(ctx context.Context, exchange Exchange) (Exchange, error)

// Handle calls the function.
func (handler HandlerFunc) Handle(ctx context.Context, exchange Exchange) (Exchange, error) {
	return handler(ctx, exchange)
}

// Filter returns a handler that runs one step and then calls next.
type Filter func(next Handler) Handler

// Chain returns the handler that passes exchanges through the filters in order and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}

// Sink receives the chunks of an engine's answer in the order of their offsets.
type Sink interface {
	// Send passes a chunk towards the caller. It returns an error when the caller
	// has disconnected, or when the attempt must not send any more chunks.
	Send(ctx context.Context, chunk call.Chunk) error
}

// SinkFunc adapts a function to [Sink].
type SinkFunc func(ctx context.Context, chunk call.Chunk) error

// Send calls the function.
func (sink SinkFunc) Send(ctx context.Context, chunk call.Chunk) error {
	return sink(ctx, chunk)
}

// Reply receives the answer of an opaque call while it arrives.
type Reply interface {
	// Begin sends the status and header to the caller. It is called at most once, before Write.
	Begin(head call.AnswerHead) error
	// Write sends a piece of the body to the caller without buffering, and returns an
	// error when the caller has disconnected.
	Write(piece []byte) error
}
