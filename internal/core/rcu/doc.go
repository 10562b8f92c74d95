// Package rcu holds shared state as immutable values that readers load without a lock.
//
// A [Cell] is an atomic pointer to a value that is never changed after it was
// stored. Writers compute the next value with a pure function and store it by
// compare-and-swap. A writer that loses a race computes its value again from the
// newer one. It does not wait for other writers, and each lost race means that
// another writer made progress.
package rcu
