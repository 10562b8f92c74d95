// Package duties contains the tasks of the leader, the one entry that acts for all entries: it
// reports usage and orders servers.
//
// The leader acts only while its lease lasts, and each call carries the fencing number
// of its leadership. The usage counts of a window are committed to the store before they
// are reported. Each repetition of a report, even by the next leader, therefore has
// exactly the same counts.
package duties
