package stream

import (
	"slices"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// MaxHeldChunks bounds the chunks that wait for an earlier one. Reordering inside
// one connection spans a few chunks; a longer wait means that a chunk was lost.
const MaxHeldChunks = 64

// ChunkResult says what became of a chunk.
type ChunkResult string

// The verdicts on chunks.
const (
	// ChunkAccepted is for a chunk that was used, held or dropped as a repeat.
	ChunkAccepted ChunkResult = "Taken"
	// ChunkConflict is for a chunk whose text contradicts the answer so far.
	ChunkConflict ChunkResult = "Conflict"
	// ChunkOverflow is for a chunk that had to wait when too many waited already.
	ChunkOverflow ChunkResult = "Overflow"
)

// Assembler is an answer so far; the zero value is an answer without tokens.
type Assembler struct {
	next     int
	last     *piece
	held     []call.Chunk
	finished bool
}

// piece is a run of tokens of the answer, with the one before it. Both ends of
// a piece are token boundaries, so the text between any two ends is known.
type piece struct {
	previous *piece
	offset   int
	text     string
}

// New returns an assembler for the rest of an answer.
func New(resume call.Resume) Assembler {
	if resume.Tokens == 0 {
		return Assembler{}
	}
	return Assembler{next: resume.Tokens, last: &piece{text: resume.Text}}
}

// Next returns the index of the first token that is missing.
func (assembler Assembler) Next() int { return assembler.next }

// Finished reports whether the answer is complete up to its end marker.
func (assembler Assembler) Finished() bool { return assembler.finished }

// Resume returns the answer so far, for the request that continues it elsewhere.
func (assembler Assembler) Resume() call.Resume {
	text, _ := assembler.textFrom(0)
	return call.Resume{Text: text, Tokens: assembler.next}
}

// WithoutHeld returns the assembler without the chunks that wait for an earlier one.
//
// A server that continues the answer may choose other tokens, so chunks held
// from its predecessor must not be joined to it.
func (assembler Assembler) WithoutHeld() Assembler {
	assembler.held = nil
	return assembler
}

// WithChunk takes a chunk in and returns the chunks that are due to the caller.
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
	next, due, verdict := assembler.withKnown(chunk)
	if verdict != ChunkAccepted {
		return assembler, nil, verdict
	}
	return next.withReleased(due)
}

// withReleased takes in held chunks whose start has become known, until none is left.
func (assembler Assembler) withReleased(due []call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	for !assembler.finished {
		at := slices.IndexFunc(assembler.held, func(chunk call.Chunk) bool {
			_, known := assembler.textFrom(chunk.Offset)
			return known
		})
		if at < 0 {
			return assembler, due, ChunkAccepted
		}
		chunk := assembler.held[at]
		assembler.held = slices.Delete(slices.Clone(assembler.held), at, at+1)
		next, more, verdict := assembler.withKnown(chunk)
		if verdict != ChunkAccepted {
			return assembler, due, verdict
		}
		assembler, due = next, append(due, more...)
	}
	return assembler.WithoutHeld(), due, ChunkAccepted
}

// withKnown takes in a chunk that starts at a known token boundary.
func (assembler Assembler) withKnown(chunk call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	known, _ := assembler.textFrom(chunk.Offset)
	if chunk.End() < assembler.next {
		if chunk.Final || !strings.HasPrefix(known, chunk.Text) {
			return assembler, nil, ChunkConflict
		}
		assembler.last = split(assembler.last, chunk.End(), len(known)-len(chunk.Text))
		return assembler, nil, ChunkAccepted
	}
	rest, ok := strings.CutPrefix(chunk.Text, known)
	if !ok || (chunk.End() == assembler.next && rest != "") {
		return assembler, nil, ChunkConflict
	}
	trimmed := chunk
	trimmed.Offset, trimmed.Tokens, trimmed.Text = assembler.next, chunk.End()-assembler.next, rest
	if trimmed.Tokens > 0 {
		assembler.last = &piece{previous: assembler.last, offset: trimmed.Offset, text: rest}
		assembler.next = trimmed.End()
	}
	assembler.finished = trimmed.Final
	if trimmed.Tokens == 0 && !trimmed.Final {
		return assembler, nil, ChunkAccepted
	}
	return assembler, []call.Chunk{trimmed}, ChunkAccepted
}

func (assembler Assembler) withHeld(chunk call.Chunk) (Assembler, []call.Chunk, ChunkResult) {
	if slices.Contains(assembler.held, chunk) {
		return assembler, nil, ChunkAccepted
	}
	held := slices.Clone(assembler.held)
	if len(held) >= MaxHeldChunks {
		// Chunks inside the answer so far only make more boundaries known, so they go first.
		held = slices.DeleteFunc(held, func(other call.Chunk) bool { return other.End() <= assembler.next && !other.Final })
	}
	if len(held) >= MaxHeldChunks {
		return assembler, nil, ChunkOverflow
	}
	assembler.held = append(held, chunk)
	return assembler, nil, ChunkAccepted
}

// textFrom returns the text from a token on, or false when offset is no known token boundary.
func (assembler Assembler) textFrom(offset int) (string, bool) {
	if offset == assembler.next {
		return "", true
	}
	if offset > assembler.next {
		return "", false
	}
	var texts []string
	for piece := assembler.last; piece != nil && piece.offset >= offset; piece = piece.previous {
		texts = append(texts, piece.text)
		if piece.offset == offset {
			slices.Reverse(texts)
			return strings.Join(texts, ""), true
		}
	}
	return "", false
}

// split returns the pieces with a boundary at offset, which has after bytes of text behind it.
func split(last *piece, offset, after int) *piece {
	if last == nil || last.offset == offset {
		return last
	}
	if last.offset > offset {
		return &piece{previous: split(last.previous, offset, after-len(last.text)), offset: last.offset, text: last.text}
	}
	at := len(last.text) - after
	head := &piece{previous: last.previous, offset: last.offset, text: last.text[:at]}
	return &piece{previous: head, offset: offset, text: last.text[at:]}
}
