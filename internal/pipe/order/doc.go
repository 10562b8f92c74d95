// Package order sends orders to backend servers while this entry holds the duty to do so.
//
// A [Controller] is the work of a duty (package pipe/duty). It passes the desired
// states through [order.Fleet], which decides what to read and what to send, and
// passes the results back. The lease is checked right before each order, and the
// order's context ends no later than the lease.
package order
