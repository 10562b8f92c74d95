package stream

import (
	"slices"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// MaxHeldChunks is the largest number of chunks that wait for an earlier one. Reordering within one
// connection spans a few chunks; if more chunks wait, a chunk was lost.
const MaxHeldChunks = 64

// ChunkResult is the result of adding a chunk to an answer.
type ChunkResult string

// The results of adding a chunk.
const (
	// ChunkAccepted is the result for a chunk that was used, held, or dropped as a duplicate.
	ChunkAccepted ChunkResult = "Taken"
	// ChunkConflict is the result for a chunk that is malformed or contradicts the answer so far.
	ChunkConflict ChunkResult = "Conflict"
	// ChunkOverflow is the result for a chunk that had to be held while the largest number was held already.
	ChunkOverflow ChunkResult = "Overflow"
)

// Assembler holds the part of an answer that has arrived so far. It is immutable; the zero value is an
// answer without tokens.
type Assembler struct {
	// nextToken is the index of the first missing token.
	nextToken   int
	lastSegment *segment
	// held are the chunks that start at an unknown token boundary.
	held     []call.Chunk
	finished bool
}

// segment is a run of tokens of the answer, linked to the segment before it. Both ends of a
// segment are known token boundaries, so the text between any two ends is known.
type segment struct {
	previous *segment
	// offset is the index of the first token.
	offset int
	text   string
}

// New returns an assembler for an answer of which the part in resume has already arrived.
func New(resume call.Resume) Assembler {
	if resume.Tokens == 0 {
		return Assembler{}
	}
	return Assembler{nextToken: resume.Tokens, lastSegment: &segment{text: resume.Text}}
}

// Next returns the index of the first missing token.
func (assembler Assembler) Next() int { return assembler.nextToken }

// Received returns the number of tokens that have arrived, including those of held chunks.
func (assembler Assembler) Received() int {
	received := assembler.nextToken
	for _, chunk := range assembler.held {
		received += chunk.Tokens
	}
	return received
}

// Finished reports whether the answer is complete, including its final chunk.
func (assembler Assembler) Finished() bool { return assembler.finished }

// Resume returns the answer so far, for the request that continues it at another server.
func (assembler Assembler) Resume() call.Resume {
	text, _ := assembler.textFrom(0)
	return call.Resume{Text: text, Tokens: assembler.nextToken}
}

// WithoutHeld returns the assembler without the held chunks, which start at an unknown token boundary.
//
// A server that continues the answer may generate other tokens, so chunks held from the
// previous server must not be combined with its chunks.
func (assembler Assembler) WithoutHeld() Assembler {
	assembler.held = nil
	return assembler
}

// WithChunk returns the assembler after a chunk arrived, the chunks that can now be relayed to
// the caller, and the result.
func (assembler Assembler) WithChunk(chunk call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	if assembler.finished {
		return assembler, nil, ChunkAccepted
	}
	if chunk.Offset < 0 || chunk.Tokens < 0 || (chunk.Tokens == 0 && chunk.Text != "") {
		return assembler, nil, ChunkConflict
	}
	if _, known := assembler.textFrom(chunk.Offset); !known {
		return assembler.withHeld(chunk)
	}
	next, due, result := assembler.withChunkAtBoundary(chunk)
	if result != ChunkAccepted {
		return assembler, nil, result
	}
	return next.withReleased(due)
}

// withReleased adds held chunks whose start has become a known boundary, until there are no more of these, and
// appends the chunks that can now be relayed to due.
func (assembler Assembler) withReleased(due []call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	for !assembler.finished {
		index := slices.IndexFunc(assembler.held, func(chunk call.Chunk) bool {
			_, known := assembler.textFrom(chunk.Offset)
			return known
		})
		if index < 0 {
			return assembler, due, ChunkAccepted
		}
		chunk := assembler.held[index]
		assembler.held = slices.Delete(slices.Clone(assembler.held), index, index+1)
		next, released, result := assembler.withChunkAtBoundary(chunk)
		if result != ChunkAccepted {
			return assembler, due, result
		}
		assembler, due = next, append(due, released...)
	}
	return assembler.WithoutHeld(), due, ChunkAccepted
}

// withChunkAtBoundary adds a chunk that starts at a known token boundary. Like WithChunk, it returns the
// assembler after that, the chunks that can now be relayed, and the result.
func (assembler Assembler) withChunkAtBoundary(chunk call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	prefix, _ := assembler.textFrom(chunk.Offset)
	if chunk.End() < assembler.nextToken {
		if chunk.Final || !strings.HasPrefix(prefix, chunk.Text) {
			return assembler, nil, ChunkConflict
		}
		assembler.lastSegment = split(assembler.lastSegment, chunk.End(), len(prefix)-len(chunk.Text))
		return assembler, nil, ChunkAccepted
	}
	suffix, ok := strings.CutPrefix(chunk.Text, prefix)
	if !ok || (chunk.End() == assembler.nextToken && suffix != "") {
		return assembler, nil, ChunkConflict
	}
	if chunk.Final && assembler.holdsBeyond(chunk.End()) {
		return assembler, nil, ChunkConflict
	}
	trimmed := chunk
	trimmed.Offset, trimmed.Tokens, trimmed.Text = assembler.nextToken, chunk.End()-assembler.nextToken, suffix
	if trimmed.Tokens > 0 {
		assembler.lastSegment = &segment{previous: assembler.lastSegment, offset: trimmed.Offset, text: suffix}
		assembler.nextToken = trimmed.End()
	}
	assembler.finished = trimmed.Final
	if trimmed.Tokens == 0 && !trimmed.Final {
		return assembler, nil, ChunkAccepted
	}
	return assembler, []call.Chunk{trimmed}, ChunkAccepted
}

// holdsBeyond reports whether a held chunk ends after the given token index, so that the answer cannot end there.
func (assembler Assembler) holdsBeyond(end int) bool {
	return slices.ContainsFunc(assembler.held, func(chunk call.Chunk) bool { return chunk.End() > end })
}

// withHeld adds a chunk to the held ones, or returns ChunkOverflow if the largest number is held.
func (assembler Assembler) withHeld(chunk call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	if slices.Contains(assembler.held, chunk) {
		return assembler, nil, ChunkAccepted
	}
	held := slices.Clone(assembler.held)
	if len(held) >= MaxHeldChunks {
		// Chunks within the answer so far can only add known boundaries, so they are dropped first.
		held = slices.DeleteFunc(held, func(chunk call.Chunk) bool { return chunk.End() <= assembler.nextToken && !chunk.Final })
	}
	if len(held) >= MaxHeldChunks {
		return assembler, nil, ChunkOverflow
	}
	assembler.held = append(held, chunk)
	return assembler, nil, ChunkAccepted
}

// textFrom returns the text from the token at offset on, or false if offset is not a known token boundary.
func (assembler Assembler) textFrom(offset int) (string, bool) {
	if offset == assembler.nextToken {
		return "", true
	}
	if offset > assembler.nextToken {
		return "", false
	}
	var texts []string
	for current := assembler.lastSegment; current != nil && current.offset >= offset; current = current.previous {
		texts = append(texts, current.text)
		if current.offset == offset {
			slices.Reverse(texts)
			return strings.Join(texts, ""), true
		}
	}
	return "", false
}

// split returns the segments up to last with a boundary added at the token offset; after is the length in
// bytes of their text that follows the boundary.
func split(last *segment, offset, after int) *segment {
	if last == nil || last.offset == offset {
		return last
	}
	if last.offset > offset {
		return &segment{previous: split(last.previous, offset, after-len(last.text)), offset: last.offset, text: last.text}
	}
	cut := len(last.text) - after
	first := &segment{previous: last.previous, offset: last.offset, text: last.text[:cut]}
	return &segment{previous: first, offset: offset, text: last.text[cut:]}
}
