// Package caller is a stand-in for the program of a client account.
//
// A [Caller] sends the requests of package load to the address for callers of an
// entry process. It reads streams with their offsets, so that a gap, a repeat or a
// stream without its end marker is a failure and never passes for an answer.
package caller
