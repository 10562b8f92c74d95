// Package engine is a stand-in for a model engine, as an HTTP server.
//
// It speaks the OpenAI-compatible interface with the extensions of package
// wire/openai on top of a [runner.Runner], and reports its load at /load as
// {"Running": n, "Waiting": n, "Chunks": n}, where Chunks counts the chunks sent so far.
// Work that a crash ends gets no answer; its connection is closed.
//
// With [Orders] it also carries out the orders of
// package wire/engine, as an engine that refuses old fencing numbers or as one
// that ignores them, and can carry them out late.
package engine
