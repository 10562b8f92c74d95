// Package kvlog is a numbered log over a key-value service with single-key compare-and-swap.
//
// Entry N is the key PREFIX/N, written with "create if absent". Creating the
// key after the last one is the commit, and it orders all writers: of two, one
// succeeds and the other gets a [ConflictError] with the entry that won. Each
// entry carries a write identifier, so a writer whose answer was lost finds out
// by reading back and by offering the same entry again, which cannot be
// written twice.
//
// Truncation raises the floor before it deletes. A writer that slept through a
// truncation could create a number that was deleted, so [Log.Append] reads the
// floor after its create and reports a number at or below it as [ErrVoid].
package kvlog
