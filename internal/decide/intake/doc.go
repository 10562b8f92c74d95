// Package intake decides what untrusted clients may make a process hold: the memory of their requests, and their connections.
//
// A [Head] bounds the head of one request while it arrives, and a [Request] follows a whole one to its end, for a server that does not tell
// where requests end. Both know the memory that the request takes. [Victims] chooses the connections that are closed when all connections
// together hold more than the [Limits] allow.
package intake
