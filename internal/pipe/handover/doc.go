// Package handover lets completions outlive the entry that they run at.
//
// [Handover.Filter] stands after the caller is identified and before bookings
// and retries. It notes the chunks that pass to the caller. When its entry's
// time is nearly over ([Handover.Leave]), it ends the try, waits until the engine's
// call is closed, gives the state to a peer and returns a
// [handover.Interruption], which the front end turns into a typed end. At any
// entry, the filter looks for the state of a repeated request, sends the chunks
// that the caller lacks and continues the completion after them.
//
// A repeat is looked for only while some entry leaves and only for ids that the
// caller chose, so that requests in quiet times pay nothing. The rules on who
// takes a state up, and why orders are not handed over, are in package
// decide/handover.
//
// Replicating every accepted request to a peer in another failure domain before
// its answer starts was measured against this (TestCostOfReplication, 1 ms one
// way, and BenchmarkHandover in wire/peer). A replica of the acceptance costs a
// call of 4.2 KB and 2 ms on the first token of every request, and saves no
// token when an entry dies, since the repeat still starts from the beginning. A
// replica of each chunk saves the 196 tokens that a request has on average
// after 4 s, so 9,800 for an entry with 50 of them in progress, but at 540,000
// tokens/s in chunks of 4 it is 321 calls/s per entry at 0.23 to 0.36 ms of processor
// time each, 7 to 11% of a core against the 1.3% allowed for control. A death
// without notice is rare enough (14 VM failures a day among all VMs) that its
// repeats start from the beginning; they are idempotent, and callers see
// offset 0. At an announced end, one call of 3.1 KB per completion saves as much.
package handover
