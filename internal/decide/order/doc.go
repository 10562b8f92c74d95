// Package order decides which orders bring backend servers to their desired state,
// and when the orders may be sent.
//
// An [Order] is a command to a backend server to load or unload weights or to change
// its role. Only the leader, the entry that holds the lease for a set of servers,
// sends orders to them. A [Progress] is the leader's view of one backend server. It
// alternates between reading the server's state and sending the next order, and
// treats an order as done only when the state that it reads shows the effect. It
// keeps reading as long as the entry is leader, because an order of an earlier
// leader may still arrive.
//
// Orders carry the leader's fencing number. A server that refuses lower numbers must
// have accepted the current one before its state can be relied on, so a new leader
// first sets the server's role under its own number, to the desired value or else to
// the current one. To a server that ignores numbers, a new leader sends nothing
// until the orders of the previous leader can no longer take effect: the lease time
// plus the longest time of an order, see [Timing]. The lease time covers a leader
// that was paused between checking its lease and sending; the next read corrects the
// effect of a longer pause.
//
// An order whose outcome is unknown may still take effect, and a fencing number does
// not distinguish it from a later order of the same leader. So nothing else is
// sent to that server until the longest time of an order has passed.
//
// A [Budget] limits model loads to the rate of the weight store. A [Fleet] combines
// the progress of all servers of one leader with the budget.
package order
