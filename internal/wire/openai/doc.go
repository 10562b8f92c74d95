// Package openai holds the message shapes of the OpenAI-compatible HTTP interface.
//
// Callers speak it to an entry, and entries speak it to model engines, with the
// additional fields that engines need to resume a stream: priority and resume in
// a request, offset, tokens and recomputed in a streamed chunk. A caller that
// does not know these fields ignores them, as the interface asks.
//
// Streams are server-sent events whose data is a chunk, and "[DONE]" at the end.
package openai
