// Package peer is the RPC between entries, over connect on HTTP/2 without TLS.
//
// A [Server] serves the peer port and a [Client] calls the peers of an entry.
// Both translate between the messages of peer.proto and the typed values that
// decisions are made on; the generated code lies in this package too. The
// payloads of items, log entries and forwarded orders are opaque here.
//
// Hold and Take carry completions of entries that leave; a peer without a
// [Holder], or of an earlier release, refuses them.
//
// Errors of a client are faults with the step and the peer's address. Two of
// them carry a promise: [ErrUnreachable] and [ErrNotLeader] mean that the peer
// did not act on the call.
package peer
