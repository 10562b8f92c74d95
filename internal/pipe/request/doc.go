// Package request handles a request in a chain of filters (pipes and filters).
//
// An [Exchange] is the immutable value that the filters pass along. A [Filter]
// receives it, passes a changed copy to the next [Handler], and returns the
// exchange that this handler returns, extended by the answer and by the
// [Decision] of each filter. The chunks of an answer flow back to the caller
// through a chain of [Sink] values; a filter that needs to see the answer wraps
// the sink.
//
// Failed and slow attempts are handled by four filters around the choice of the
// server, in this order: [Retry], [Hedge], [Choose], [Move], [Relay]. They share
// [RetryStates], which holds the retry budget of each service and the usual
// times of its answers as measured at this entry.
//
// Filters contain no decision logic. They load a state from its cell, call a
// function of a decide package that returns the next state and what to do, store the
// state, and do the input, output and waiting.
package request
