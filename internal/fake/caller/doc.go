// Package caller is a stand-in for a client program of an account, which sends requests to an entry.
//
// A [Caller] sends requests over HTTP to the caller address of one entry, for example
// those that package load generates. It checks the offsets of a streamed answer, so that
// a gap, a repeated chunk or a missing end marker is reported as a failure and never as
// a complete answer.
package caller
