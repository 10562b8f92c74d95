// Package ingress is the HTTP/1.1 front end for opaque calls.
//
// The bodies of calls and answers pass through a [request.Handler] unchanged. If an
// answer ends early, the server closes the connection before the end of the body,
// so that the caller cannot take the answer for a complete one. When the caller
// disconnects, the context of the call ends. A [Codec] determines the names of
// header fields.
//
// The package uses net/http instead of hertz. The standard transport of hertz does
// not detect that a caller has disconnected while its call is in progress, and its
// netpoll transport polls on a separate thread.
package ingress
