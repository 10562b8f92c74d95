// Package httpclient provides the HTTP client on which the clients of backend servers are built.
//
// It distinguishes a failure to connect, after which the work certainly did not run,
// from a failure after the request was sent, after which the work may have run. A
// router needs this to decide whether a request may be retried.
//
// The client uses net/http instead of hertz. The client of hertz accepts no context
// for a call in progress: its stream reader cancels a call by closing a stream object
// that may already serve another request, as the race detector showed. A cancelled
// request must never cut off the answer to another request.
package httpclient
