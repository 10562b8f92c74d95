// Package kvlog is a numbered log over a key-value service with single-key compare-and-swap.
//
// Entry N is the key PREFIX/N, which is created only if it is absent. Creating the
// key after the last one commits the entry and orders all writers: if two writers
// create the same key, one succeeds and the other receives a [ConflictError] with
// the entry of the first. Each entry contains a write ID, so a writer that received
// no answer finds out whether its entry was written by reading the key and by
// writing the same entry again, which cannot store it twice.
//
// The floor is the number of the last truncated entry. Truncation raises the floor
// before it deletes entries. A writer that was suspended during a truncation could
// create a key that was deleted, so [Log.Append] reads the floor after it has created
// the key and returns [ErrNumberTruncated] if the number is at or below the floor.
package kvlog
