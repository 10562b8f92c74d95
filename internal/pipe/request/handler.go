package request

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Handler brings an exchange to its end and returns what came of it.
//
// The error is a [*call.Refusal] when the request did not run, a
// [*call.Failure] when a backend server failed, or else a fault of the entry.
// The exchange is returned with an error too, for its decisions.
type Handler interface {
	Handle(ctx context.Context, exchange Exchange) (Exchange, error)
}

// HandlerFunc is a function that is a [Handler].
type HandlerFunc func(ctx context.Context, exchange Exchange) (Exchange, error)

// Handle calls the function.
func (handler HandlerFunc) Handle(ctx context.Context, exchange Exchange) (Exchange, error) {
	return handler(ctx, exchange)
}

// Filter puts one step of the path before the handler that follows it.
type Filter func(next Handler) Handler

// Chain returns the handler that passes exchanges through the filters in order and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	handler := last
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i](handler)
	}
	return handler
}

// Sink takes the pieces of an answer in the order of their offsets.
type Sink interface {
	// Send passes a chunk on and returns an error when the caller is gone.
	Send(ctx context.Context, chunk call.Chunk) error
}

// SinkFunc is a function that is a [Sink].
type SinkFunc func(ctx context.Context, chunk call.Chunk) error

// Send calls the function.
func (sink SinkFunc) Send(ctx context.Context, chunk call.Chunk) error {
	return sink(ctx, chunk)
}

// Reply takes an opaque answer as it comes.
type Reply interface {
	// Begin passes the head on; it is called once.
	Begin(head call.AnswerHead) error
	// Write passes a piece of the body on at once and returns an error when the caller is gone.
	Write(piece []byte) error
}
