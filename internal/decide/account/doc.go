// Package account decides when the work of client accounts may run.
//
// An entry is a process that forwards the requests of callers to backend servers. Each
// server has a number of slots, one for each request that it runs concurrently. Work is
// long if its expected length in tokens is beyond a boundary, which follows from the
// typical length of its service's answers; other work is short.
//
// An [Estimator] predicts from finished answers how long work will take. A [Queue]
// holds the work that waits at one entry and grants slots: between client accounts
// fairly by weight, within an account to short work before long work, and to long work
// only up to a cap that leaves slots free for the observed short work. A [Limiter]
// enforces one account's limits on requests, tokens and concurrency at one entry, and
// [LimitShares] divides such limits between the entries.
//
// All of them are immutable values, and functions take the current time as an argument.
package account
