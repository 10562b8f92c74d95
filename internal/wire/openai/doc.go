// Package openai holds the message types of the OpenAI-compatible HTTP interface.
//
// Callers use the interface to call an entry, and entries use it to call model
// engines. It has additional fields: priority and resume in a request, and offset,
// tokens and recomputed in a streamed chunk, which engines and entries need to resume
// a stream. The interface requires clients to ignore unknown fields.
//
// A stream consists of server-sent events whose data is a chunk, and ends with an
// event whose data is "[DONE]".
package openai
