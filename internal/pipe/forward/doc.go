// Package forward handles opaque calls, which are passed on byte for byte.
//
// It uses the exchange, handler, gate, recorder and decision types of package request,
// with filters of its own, since the entry does not parse the bodies of these calls. In
// order, [Match] finds the route and the client account, [Limits] enforces the limits
// that apply to all entries together, [Crashes] refuses calls that crash servers,
// and [Delivery] sends the call to a server and retries it if the route and the retry
// budget allow that. Right before each attempt, [Revocation] refuses calls whose access
// key may have been revoked in the meantime.
//
// [Observations] holds what this entry has observed of the servers, as one immutable
// observation in a cell for each server incarnation.
package forward
