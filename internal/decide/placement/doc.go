// Package placement chooses the backend server of an opaque call.
//
// An [Observation] is what an entry knows of one server: its own work there, the
// work that peers state, and how the server answered. [Choose] takes the server
// at which the call is expected to begin first. The cost of a call at a model
// engine is counted in prompt tokens that have to be read before its first token;
// parts of the prompt that the engine has cached cost nothing. Every entry
// expects the shared parts of a prompt at the same engine, its home, which it
// finds by rendezvous hashing, so that entries need no messages to agree on it.
package placement
