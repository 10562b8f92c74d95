// Package duty decides which entry should lead which duty, and when a leader may act.
//
// An entry is a process that forwards the requests of callers to backend servers.
// A duty is work that only one entry at a time, its leader, performs. [Owner] and
// [Rank] distribute duties over the live entries by rendezvous hashing, so that no
// entry is special. They only determine which entries try to become leader first:
// the lease in the key-value service decides which one is.
//
// A [Lease] is one leader's right to act. It ends by the leader's own monotonic
// clock, with a margin, before it can expire at the key-value service. A process
// that is paused between reading its clock and its next action still acts too
// late, and a monotonic clock may stop while a VM is suspended. The fencing
// number of the lease covers these cases: it increases with each new leader.
package duty
