// Package request is the path of a request as pipes and filters.
//
// An [Exchange] is the immutable value that travels along the path. A [Filter]
// receives it, passes a changed copy to the next [Handler], and returns the
// exchange that comes back, enriched with the answer and with each filter's
// [Decision]. Pieces of the answer travel the other way through a chain of
// [Sink] values, which filters wrap when they need to see the answer.
//
// Failed work is handled by four filters around the choice of the server, in
// this order: [Retry], [Hedge], [Choose], [Move], [Relay]. They share what one
// entry has learned of a service in a [Recovery].
//
// Filters hold no decisions of their own: they load a state from its cell, call
// a function of a decide package, store the next state, and wait.
package request
