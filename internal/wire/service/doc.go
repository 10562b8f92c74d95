// Package service is the client of plain services.
//
// It passes an operation on as an HTTP request and returns the answer with its
// body as it came. The Idempotency-Key header holds "ACCOUNT/KEY", the client
// account and the caller's key.
//
// A service with a status path is asked with GET STATUSPATH?key=ACCOUNT/KEY what
// became of a key: 200 with the answer of the order that ran, 410 if it did not
// run and the service will not run it, and any other status if that is open.
package service
