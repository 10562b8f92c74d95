// Package httpclient is the HTTP client that the clients of backend servers share.
//
// It adds to hertz what a router needs: it tells a failure to connect, after
// which the work surely did not run, from a failure after the request was sent,
// after which it may have run, and it returns as soon as the context ends.
package httpclient
