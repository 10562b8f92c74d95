// Package intake decides what untrusted clients may make a process hold: the memory of their requests, and their connections.
//
// A [Head] bounds the head of one request while it arrives. [Victims] chooses the connections that are closed when all connections together
// hold more than the [Limits] allow.
package intake
