// Package order decides which orders bring backend servers to their desired state, and when they may be sent.
//
// A [Progress] is what the holder of the duty knows of one backend server. It
// alternates between reading the server's state and sending the next order, and
// treats an order as done only when it reads it back. It goes on reading while
// the duty is held, since an order of an earlier holder may still arrive.
//
// Orders carry the fencing number of their holder. A server that refuses old
// numbers must have seen the newest one before its state can be relied on, so a
// new holder first restates the server's role under its own number. To a server
// that ignores numbers, a new holder sends nothing until the orders of the old
// one can no longer be under way: the lease time plus the longest time of an
// order, see [Timing]. The lease time covers a holder that was paused between
// the check of its lease and the sending; a longer pause is repaired by the next
// read.
//
// An order whose outcome is unknown may still take effect, and a fencing number
// does not tell it from a later order of the same holder. So nothing else is
// sent to that server until the longest time of an order has passed.
//
// A [Budget] spreads model loads within the rate of the weight store. A [Fleet]
// joins the progress of all servers of one duty with the budget.
package order
