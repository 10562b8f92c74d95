// Package engine is a stand-in for a model engine, as an HTTP server.
//
// It serves the OpenAI-compatible interface, with the extensions of package
// wire/openai, on top of a [runner.Runner], and reports its load at /load as
// {"Running": n, "Waiting": n, "Chunks": n}, where Chunks counts the chunks sent so far.
// A request that a crash interrupts gets no answer; its connection is closed.
//
// With [Orders] it also carries out the orders of package decide/order, which load
// or unload weights or change the engine's role. It then either refuses orders with
// an outdated fencing number or ignores fencing numbers, and it can carry out orders late.
package engine
