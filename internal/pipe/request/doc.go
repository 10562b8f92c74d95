// Package request is the path of a request as pipes and filters.
//
// An [Exchange] is the immutable value that travels along the path. A [Filter]
// receives it, passes a changed copy to the next [Handler], and returns the
// exchange that comes back, enriched with the answer and with each filter's
// [Decision]. Pieces of the answer travel the other way through a chain of
// [Sink] values, which filters wrap when they need to see the answer.
//
// Filters hold no decisions of their own: they load a state from its cell, call
// a function of a decide package, store the next state, and wait.
package request
