// Package call defines the values that the steps of the request path pass on.
//
// A [Request] is one request of a caller. It results in an [Answer] (plain services), a
// series of [Chunk] values (model engines) or an [AnswerHead] with a body (opaque calls);
// in a [Refusal], which means that the request did not run; or in a [Failure], which
// reports whether the request may have run.
//
// All of them are immutable: a With method returns a changed copy, and byte slices in
// them must not be written to.
package call
