// Package handover lets completions continue after the entry that relays them has left.
//
// [Handover.Filter] is placed after the identification of the caller and before
// bookings and retries. It records the chunks that are relayed to the caller. Shortly
// before its entry shuts down (see [Handover.Leave]), it cancels the completion, waits
// until the call to the engine is closed, sends the state to a peer and returns a
// [decide.Interruption], which the front end encodes as a typed end of the answer.
// At the entry that receives the repeated request, the filter finds the state, sends the
// chunks that the caller lacks and resumes the completion after them.
//
// The filter searches for a state only while some entry is leaving, and only for request
// ids that the caller chose, so handovers add no cost to requests at other times. Which
// peer holds a state, and why bookings are not handed over, is described in package
// decide/handover.
//
// The alternative, replicating every accepted request to a peer in another failure domain
// before its answer starts, was rejected for its costs. They were measured by
// TestCostOfReplication, with a one-way latency of 1 ms, and by BenchmarkHandover in
// wire/peer:
//
//   - Replicating only the acceptance costs a call of 4.2 KB per request and delays each
//     first token by 2 ms. It saves no tokens when an entry fails, because the repeated
//     request still starts from the beginning.
//   - Replicating each chunk saves the 196 tokens that a request has on average after
//     4 s, which is 9,800 tokens for an entry with 50 requests in progress. At 540,000
//     tokens/s in chunks of 4 tokens, it takes 321 calls/s per entry at 0.23 to 0.36 ms of
//     processor time each. This is 7 to 11% of a core, while all control work together may use 1.3%.
//
// A handover at an announced shutdown saves as many tokens with one call of 3.1 KB per
// completion. Failures without notice are rare (14 VM failures a day among all VMs), so
// completions that they interrupt start from the beginning. Completions are idempotent, and
// callers recognise the new start by offset 0.
package handover
