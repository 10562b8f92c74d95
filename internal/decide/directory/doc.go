// Package directory holds an entry's copy of the data in the platform's store, with its age.
//
// A [Snapshot] is the result of a read of the store, with the store's revision and a
// time at which the result was current. Snapshots of all entries are merged by
// revision, so that an entry whose reads the store rejects uses what its peers
// read. Times are of the entry's own boot clock. The time of a peer's snapshot is the
// time just before this entry requested it, less the age that the peer reported, so that
// neither differing clocks nor message delays make the snapshot look newer than it is.
//
// [Servers] combines listings, which are snapshots of the registered servers, into the
// servers that may take work. A server that is leaving stays leaving for the rest of its
// incarnation.
package directory
