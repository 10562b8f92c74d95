// Package booking executes orders at most once per idempotency key.
//
// Each order passes through a pipeline. Its intent (the record that this process
// is about to send it) is batched with the intents of other orders in the same
// shard, and the batch is appended to the shard's numbered log in one write
// (group commit). After the intent is committed, the process that committed it
// sends the order to the service. The result goes through the same batching and
// append, and then to the caller. [AtMostOnce] is the filter that puts this into
// the request path.
//
// An append that conflicts with another entry's append reads the tail of the log
// and decides again on the new state. While the store is unavailable, an order
// waits until shortly before its deadline and is then refused as not run. That
// is safe because only one goroutine may send the order, and it has abandoned it.
// If the intent was written nevertheless, it is withdrawn when this process reads
// it from the log.
package booking
