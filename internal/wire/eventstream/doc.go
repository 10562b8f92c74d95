// Package eventstream splits a stream of server-sent events (text/event-stream) into its events.
//
// A [Splitter] takes the stream in pieces of any size and returns the blocks that each piece completes, with the bytes of the
// stream unchanged. What is left when the stream ends tells whether it ended inside an event. A [Grammar] decides whether a block has
// the form of an event.
package eventstream
