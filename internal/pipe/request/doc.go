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
// [RetryStates], which holds the retry budget and the usual times of each
// service as measured at this entry.
//
// Filters contain no decision logic. They load a state from its cell, call a
// function of a decide package, store the next state, and wait.
package request
