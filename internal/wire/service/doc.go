// Package service is the client of plain services.
//
// It passes an operation on as an HTTP request, with the caller's idempotency
// key in the Idempotency-Key header, and returns the answer with its body as it
// came.
package service
