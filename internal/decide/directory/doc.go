// Package directory holds what an entry knows of the platform's store, and how fresh that is.
//
// A [Reading] is what a read of the store yielded, at which revision of the store
// and from when on it is known to be the newest. Readings of all entries are
// joined by revision, so that an entry which the store turns away decides on what
// its peers read. Times are of the entry's own boot clock: a reading of a peer
// counts from before it was asked for, less the age that the peer states, so
// that neither clocks nor delays of messages make it look fresher than it is.
//
// [Servers] folds listings into the servers that may take work. A server that is
// leaving stays so for the rest of its incarnation.
package directory
