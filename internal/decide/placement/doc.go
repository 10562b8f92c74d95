// Package placement chooses the backend server of an opaque call.
//
// An [Observation] is an entry's record of one server: its own calls there, the
// calls that peers report, and how fast the server answered. [Choose] selects the
// server with the lowest expected [Cost], in prompt tokens. The largest part of it at a
// model engine is the number of prompt tokens that have to be processed before the
// first token of the answer; parts of the prompt that the engine has cached cost nothing.
// With an estimate of the call's work (package work), the time of the whole answer and
// the deadline count too. Every
// entry expects the shared parts of a prompt in the cache of the same engine, the
// preferred server, which it selects by rendezvous hashing, so that entries need no
// messages to agree on it.
package placement
