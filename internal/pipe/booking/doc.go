// Package booking runs orders at most once, as a pipe from intents to answers.
//
// Intents of many orders are batched per shard and appended to the shard's
// numbered log in one write (group commit). An order is dispatched after its
// intent is committed, by the process that committed it; its result goes
// through the same batch and append, and then to the caller. [Once] puts this
// into the request path.
//
// An append that conflicts reads the tail of the log and decides again. While
// the store is out, an order waits until shortly before its deadline and is
// then refused as not run: the goroutine that alone may send it has given it up.
// If its intent was written nevertheless, it is withdrawn when it is seen.
package booking
