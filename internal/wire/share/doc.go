// Package share implements the RPC by which entries exchange their states, over Connect on HTTP/2 without TLS.
//
// A [Server] serves the peer port of an entry, and a [Client] calls the peers of an
// entry. Both translate between the messages of share.proto and the types of package
// pipe/share; the generated code is in this package too. The client pings silent
// connections and closes those that do not answer, since a network may drop a
// connection without a reset.
//
// The messages have other names than the types: a Neighbour is the state of an entry,
// a Group an aggregate, a Roll a member list, a Roster a member digest, and a Holding
// a cached read.
package share
