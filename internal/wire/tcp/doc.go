// Package tcp has the listener of the front ends, which can wait until no more connections arrive.
//
// A listener that closes resets the connections in its queue, with the requests that callers have already sent on them. A
// planned stop must therefore drain the listener before it closes it.
package tcp
