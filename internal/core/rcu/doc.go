// Package rcu holds shared state as immutable values that readers load without a lock.
//
// A [Cell] is an atomic pointer to a value that nobody changes after it is
// stored. Writers compute the next value with a pure function and publish it by
// compare-and-swap. A writer that loses a race computes again from the newer
// value; it does not wait for anyone, since each lost race means that another
// writer made progress.
package rcu
