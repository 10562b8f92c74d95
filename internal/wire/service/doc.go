// Package service is the client of plain services.
//
// A [Client] forwards an operation as an HTTP request and returns the answer with its
// body unchanged. The Idempotency-Key header holds "ACCOUNT/KEY", the client account
// and the caller's key.
//
// For a service with a status path, a [Status] queries the outcome of a key with
// GET STATUSPATH?key=ACCOUNT/KEY. The service answers 200 with the answer of the operation
// if it ran, 410 if it did not run and never will, and any other status if the
// outcome is unknown.
package service
