// Package peer implements the RPC between entries, over Connect on HTTP/2 without TLS.
//
// A [Server] serves the peer port of an entry, and a [Client] calls the peers of
// an entry. Both translate between the messages of peer.proto and the types of the
// decision packages; the generated code is in this package too. They pass the
// payloads of items, log entries and forwarded orders on as opaque bytes, which
// functions such as [EncodeDemand] and [DecodeOrder] convert.
//
// Hold and Take transfer the state of completions when an entry leaves. A peer of
// a release without them rejects both calls. A peer without a [HandoverStore]
// rejects Hold and answers every Take with VERDICT_MISSING.
//
// Errors of a client carry the step and the peer's address (package fault).
// [ErrUnreachable] and [ErrNotLeader] guarantee that the peer did not act on the call.
package peer
