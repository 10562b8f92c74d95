// Package account decides when the work of client accounts may run.
//
// An [Estimator] learns from finished answers how long work will be. A [Queue]
// holds the work that waits at one entry and grants slots: fairly by weight
// between client accounts, short work before long work within one, and long work
// only up to a cap that leaves room for the short work observed. [Limits] bounds
// each account's requests, tokens and concurrency, and [Shares] divides such a
// bound between the entries.
//
// All of them are immutable values; time comes in as an argument.
package account
