// Package share is the RPC by which entries tell each other what they know, over connect on HTTP/2 without TLS.
//
// A [Server] serves the peer port and a [Client] calls the peers of an entry. Both
// translate between the messages of share.proto and the values of package pipe/share;
// the generated code lies in this package too. Silent connections are found by
// pings and closed, since a network may drop them without a reset.
package share
