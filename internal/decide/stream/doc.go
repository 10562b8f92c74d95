// Package stream puts the chunks of one answer in order.
//
// Every chunk carries the index of its first token. An [Assembler] returns each token of
// an answer once and in order, whatever the order, repetition and source of the chunks.
//
// The text of a chunk cannot be divided between its tokens. The part of a chunk that
// repeats the answer so far can therefore be cut off only if the chunk starts at a known
// token boundary, which is where some earlier chunk began or ended. A chunk that starts
// anywhere else is held until a later chunk makes its start a known boundary; the number
// of held chunks is bounded.
//
// The answer of an opaque call has events with ids in place of chunks. [EventIDs] tells an event that can be the next one from
// bytes that only look like an event, and an answer that ended from one whose servers broke off.
package stream
