// Package forward is the path of opaque calls, which are passed on byte for byte.
//
// It is a second composition of the pipe in package request: the same exchange,
// handlers, gate, records and decisions, with filters for calls whose bodies the
// entry does not read. In order, [Match] finds the route and the client account,
// [Limits] keeps the limits that hold over all entries, [Crashing] refuses calls
// that crash servers, and [Delivery] sends the call to a server, and again where
// that is allowed. Right before each sending, [Revocation] refuses calls whose
// access key may have been taken away meanwhile.
//
// What is known of each server lies in [Tracks], as an immutable observation in a
// cell for each incarnation.
package forward
