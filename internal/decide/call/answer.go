package call

// Answer is the complete answer of a plain service.
type Answer struct {
	// Status is the HTTP status code.
	Status      int
	ContentType string
	Body        []byte
}

// Chunk is a part of a model engine's streamed answer.
type Chunk struct {
	// Offset is the index in the answer of the chunk's first token.
	Offset int
	// Tokens is the number of tokens in Text.
	Tokens int
	Text   string
	// Final marks the end of the answer; an answer without a final chunk is truncated.
	Final bool
	// FinishReason is the engine's reason for ending the answer, set only with Final.
	FinishReason string
	// Recomputed is the number of tokens of a resumed answer that the engine computed again, set only with Final.
	Recomputed int
}

// KVCache identifies the KV cache of a completion at the model engine that holds it.
//
// Engines transfer the contents directly between each other, since they are too large to
// pass through an entry.
type KVCache struct {
	// Server is the backend server that holds the cache.
	Server string
	// Handle is the engine's identifier of the cache.
	Handle string
	// Tokens is the number of answer tokens in the cache.
	Tokens int
}

// End returns the index after the chunk's last token.
func (chunk Chunk) End() int {
	return chunk.Offset + chunk.Tokens
}

// The statuses of answers (RFC 9110). A lower one announces an answer, or another protocol that the client did not ask for.
const (
	minAnswerStatus = 200
	maxAnswerStatus = 599
)

// IsAnswerStatus reports whether a status is that of an answer.
func IsAnswerStatus(status int) bool { return status >= minAnswerStatus && status <= maxAnswerStatus }
