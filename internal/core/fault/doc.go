// Package fault gives errors the step at which they arose and the peer they concern.
//
// Both are kept as attributes of a samber/oops error, for logs, and stand in
// the message, so that an error printed alone still says where it came from.
package fault
