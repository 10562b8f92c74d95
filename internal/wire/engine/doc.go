// Package engine is the client of model engines.
//
// It speaks the OpenAI-compatible interface of package openai, always as a
// stream, so that an answer that breaks off can go on at another engine. Closing
// the stream cancels the work at the engine.
package engine
