// Package account decides when the work of client accounts may run.
//
// An [Estimator] predicts from finished answers how long work will take. A [Queue]
// holds the work that waits at one entry and grants slots: between client accounts
// fairly by weight, within an account short work before long work, and to long work
// only up to a cap that leaves slots free for the observed short work. A [Limiter]
// enforces each account's limits on requests, tokens and concurrency, and
// [LimitShares] divides such a limit between the entries.
//
// All of them are immutable values, and functions take the current time as an argument.
package account
