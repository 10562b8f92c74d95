// Package call holds the typed values that travel along the request path.
//
// A [Request] is what a caller asked for. It ends in an [Answer] (plain
// services) or a run of [Chunk] values (model engines), in a [Refusal], which
// means that the request did not run, or in a [Failure], which says whether it
// may have run. All of them are immutable: a With method returns a changed copy,
// and byte slices in them must not be written to.
package call
