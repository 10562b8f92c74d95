// Package handover decides how completions continue after the entry that relayed them has left.
//
// An entry is a process that forwards the requests of callers to backend servers,
// and its peers are the other entries. A [State] is the data that a leaving entry
// sends to a peer: the tokens relayed so far, as chunks, and the client account
// that may resume the completion. It contains the hash of the caller's body
// instead of the body itself: the caller sends the body again with the repeated
// request, so including it would only add to the bytes of a handover. A [Store]
// holds states for [HoldTime] up to [MaxBytes], and returns each state once, to
// the same client account with the same body. [PossibleHolders] and [Successors]
// determine the entries that hold the state of a request id.
//
// Only completions are handed over. Requests to services whose Repeat is Never or
// ByKey are not: their intent and their answer are in the booking log, which all
// entries read, so a repeat at another entry gets the first answer or waits for it.
// A second record of the request at a peer could only contradict the log. Idempotent
// calls to plain services are short and have no partial answer, so their repeats run
// from the start.
package handover
