// Package placement chooses the backend server of an opaque call.
//
// An [Observation] is an entry's record of one server: its own calls there, the
// calls that peers report, and how fast the server answered. [Choose] selects the
// server with the shortest expected time to the first token. The cost of a call at a
// model engine is the number of prompt tokens that have to be processed before its
// first token; parts of the prompt that the engine has cached cost nothing. Every
// entry expects the shared parts of a prompt in the cache of the same engine, the
// preferred server, which it selects by rendezvous hashing, so that entries need no
// messages to agree on it.
package placement
