// Package fault adds to errors the step in which they occurred and the peer that they concern.
//
// Both are attributes of a samber/oops error, for logs, and part of the message, so
// that the message alone shows where the error occurred.
package fault
