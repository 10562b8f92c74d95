// Package ingress is the HTTP/1.1 front end for opaque calls.
//
// A call passes through a [request.Handler] byte for byte, and so does its answer.
// An answer that ends early ends the connection without the end of its body, so
// that it cannot pass for a whole one. When the caller leaves, the context of
// the call ends.
//
// It is built on net/http and not on hertz. hertz's standard transport does not
// notice a caller that leaves while its call is in progress, and its netpoll
// transport polls on a thread of its own. Names of header fields are a [Codec]'s.
package ingress
