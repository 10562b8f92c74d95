// Package stream puts the chunks of one answer in order.
//
// Every chunk carries the index of its first token. An [Assembler] yields each
// token of an answer once and in order, whatever the order, repetition and
// source of the chunks. The text of a chunk cannot be divided between its
// tokens, so an overlap is cut off only where the text up to the overlap's start
// is known, which is where some earlier chunk began or ended. A chunk that
// starts anywhere else is held until its start becomes known; the number of
// held chunks is bounded.
package stream
