// Package neighbour holds what an entry knows of the other entries.
//
// Each incarnation of an entry states a [Record] and raises its sequence number
// with each statement. Entries pull the records that they lack from each other,
// also those of third ones. An incarnation whose sequence number stands still is
// no longer alive; its record is kept for a while, because its usage still counts.
package neighbour
