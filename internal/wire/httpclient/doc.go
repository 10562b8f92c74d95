// Package httpclient is the HTTP client that the clients of backend servers share.
//
// It adds what a router needs: it tells a failure to connect, after which the
// work surely did not run, from a failure after the request was sent, after which
// it may have run.
//
// It is built on net/http and not on hertz, whose client takes no context for a
// call in progress: its stream reader cancels by closing a stream object that may
// serve another request by then, which the race detector showed. A canceled
// request must never cut off the answer of another.
package httpclient
