package openai

import (
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Stream checks that the chunks of one stream belong together. It is immutable; the zero value has no chunk and no bound.
type Stream struct {
	// maxEnd is the largest index after a chunk's last token, 0 for no bound.
	maxEnd  int
	started bool
	// id and model are those of the first chunk.
	id, model string
}

// NewStream returns the stream of an engine's answer to a completion.
//
// An engine may count the tokens with which the answer is resumed towards the bound of the caller or not, so both are allowed.
func NewStream(completion call.Completion) Stream {
	if completion.MaxTokens <= 0 {
		return Stream{}
	}
	return Stream{maxEnd: completion.Resume.Tokens + completion.MaxTokens}
}

// WithData returns the stream after the data of its next event, and the chunk in that; the error reports the malformed field.
//
// By the interface, all chunks of an answer have the same id and model. One that differs is of another answer.
func (stream Stream) WithData(data []byte) (Stream, call.Chunk, error) {
	answer, chunk, err := decodeChunk(data)
	if err != nil {
		return stream, call.Chunk{}, err
	}
	if stream.started && (answer.ID != stream.id || answer.Model != stream.model) {
		return stream, call.Chunk{}, fmt.Errorf("chunk: id %q and model %q in the stream of id %q and model %q", answer.ID, answer.Model, stream.id, stream.model)
	}
	if stream.maxEnd > 0 && chunk.End() > stream.maxEnd {
		return stream, call.Chunk{}, fmt.Errorf("chunk: end at token %d, beyond the bound %d", chunk.End(), stream.maxEnd)
	}
	if chunk.Recomputed > chunk.End() {
		return stream, call.Chunk{}, fmt.Errorf("chunk: %d tokens recomputed of an answer of %d", chunk.Recomputed, chunk.End())
	}
	stream.started, stream.id, stream.model = true, answer.ID, answer.Model
	return stream, chunk, nil
}
