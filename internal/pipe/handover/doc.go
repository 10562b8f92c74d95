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
package handover
