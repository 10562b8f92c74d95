// Package handover decides on completions that outlive the entry they ran at.
//
// A [State] is what a leaving entry hands to a peer: the tokens relayed so far,
// piece by piece, and who may take them up. The caller's body is not in it, but
// its hash: the caller repeats the request with its body, so sending the body to
// the peer as well would only add to the bytes of a handover. A [Store] holds
// states for [HoldTime] within a bound of bytes, and gives each out once, to the
// same client account with the same body. [Places] and [Successors] say which entries
// hold the state of a request id.
//
// Only completions are handed over. Orders to services whose Repeat is Never or
// ByKey are not: their intent and their answer are in the booking log, which
// every entry reads, so a repeat at another entry gets the first answer or waits
// for it. A second record of the order at a peer could only contradict the log.
// Idempotent calls to plain services are short and have no partial answer, so
// their repeat runs from the start.
package handover
