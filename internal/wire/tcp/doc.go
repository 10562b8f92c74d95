// Package tcp has the listener of the front ends, which can wait until no more connections arrive, and the [Guard] of their connections.
//
// A listener that closes resets the connections in its queue, with the requests that callers have already sent on them. A
// planned stop must therefore drain the listener before it closes it.
//
// A [Guard] bounds what the clients of a listener make the process hold, with the decisions of decide/intake. Each accepted connection is a
// [Conn], which counts the heads that are read from it, and to which the server tells the phases of its requests.
package tcp
