// Package duty decides which entry should hold which duty, and when a holder may act.
//
// A duty is work that one entry at a time performs. [Owner] and [Rank] spread
// duties over the live entries by rendezvous hashing, so that no entry is
// special. They only say who should try first: the lease in the key-value
// service decides who holds a duty.
//
// A [Tenure] is one holder's right. It ends by the holder's own monotonic clock,
// with a margin, before the service can let the lease lapse. A process that is
// paused between the look at its clock and its next action acts too late all
// the same, and a monotonic clock may stand still while a VM is suspended. The
// fencing number of the tenure covers these cases: it rises with each holder.
package duty
