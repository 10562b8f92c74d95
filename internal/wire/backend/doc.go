// Package backend is the HTTP/1.1 client that sends opaque calls to backend servers.
//
// Each failure reports whether the call may have run: it has not run if no byte of
// it was written. A [Codec] determines the names of header fields.
//
// The package manages connections itself and uses only the parser of net/http,
// since the transport of net/http retries some calls on its own and does not report
// bytes that follow an answer. A connection is reused only after a complete answer
// to its call that no bytes follow. An answer that echoes the id of another call is
// a late answer to an earlier call and is skipped.
//
// Bytes that are no answer, or not the rest of one, are an error that wraps [call.ErrMalformed], and no bytes are returned together with
// it. The end of a connection inside an answer is not: the server may have crashed.
package backend
