// Package backend is the HTTP/1.1 client of backend servers that get opaque calls.
//
// It tells for each failure whether the call may have run: before the first byte
// is written it surely did not. The names of header fields are a [Codec]'s.
//
// It keeps connections itself, on the parser of net/http, since the transport of
// net/http sends some calls again by itself and does not show when bytes follow
// an answer. A connection is used again only after a whole answer to its call,
// with nothing behind it; an answer that echoes another call's id is a late one of
// an earlier call and is passed over.
package backend
