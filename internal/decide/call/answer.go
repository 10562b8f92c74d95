package call

// Answer is the whole answer of a plain service.
type Answer struct {
	// Status is the HTTP status code of the service.
	Status      int
	ContentType string
	Body        []byte
}

// Chunk is a piece of an engine's answer.
type Chunk struct {
	// Offset is the index of the chunk's first token in the whole answer.
	Offset int
	// Tokens is the number of tokens in Text.
	Tokens int
	Text   string
	// Final marks the end of the answer; an answer without it is cut off.
	Final bool
	// FinishReason says why the engine ended, set with Final only.
	FinishReason string
	// Recomputed is the number of tokens the engine computed again, set with Final only.
	Recomputed int
}

// KVCache names the KV cache of a completion at the engine that holds it.
//
// The contents go from engine to engine; they are too large for an entry.
type KVCache struct {
	// Server is the backend server that holds the cache.
	Server string
	// Handle is the engine's own name for the cache.
	Handle string
	// Tokens is the number of answer tokens in it.
	Tokens int
}

// End returns the index after the chunk's last token.
func (chunk Chunk) End() int {
	return chunk.Offset + chunk.Tokens
}
