// Package order sends orders to backend servers while this entry is the leader.
//
// Package pipe/duty elects the leader and runs the [Controller] at the elected entry. The
// controller passes the desired states to an [order.Fleet], which decides which states to
// read and which orders to send. The controller carries out these actions and passes their
// results back to the fleet. It checks the lease immediately before it sends an order, and
// the order's context ends no later than the lease.
package order
