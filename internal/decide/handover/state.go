package handover

import (
	"slices"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// State is a completion in progress, with the part of its answer that was relayed.
type State struct {
	// ID is the request id, which the caller repeats.
	ID string
	// Account is the client account that alone may take the state up.
	Account string
	// BodyHash is the hash of the caller's request, which must repeat unchanged.
	BodyHash string
	// start is the number of answer tokens that the caller's own request continues.
	start int
	last  *piece
	next  int
	bytes int
}

// piece is a relayed chunk with the one before it, so that states share their pieces.
type piece struct {
	previous *piece
	chunk    call.Chunk
}

// pieceBytes is the memory of a piece besides its text.
const pieceBytes = 96

// stateBytes is the memory of a state besides its texts.
const stateBytes = 256

// NewState returns the state of a request of which nothing was relayed.
//
// Start is the number of tokens that the request itself states to be there already.
func NewState(id, account, bodyHash string, start int) State {
	return State{
		ID: id, Account: account, BodyHash: bodyHash, start: start, next: start,
		bytes: stateBytes + len(id) + len(account) + len(bodyHash),
	}
}

// WithBodyHash returns the state with the hash of the caller's request.
func (state State) WithBodyHash(bodyHash string) State {
	state.bytes += len(bodyHash) - len(state.BodyHash)
	state.BodyHash = bodyHash
	return state
}

// WithChunk returns the state after one more chunk was relayed.
func (state State) WithChunk(chunk call.Chunk) State {
	state.last = &piece{previous: state.last, chunk: chunk}
	state.next = chunk.End()
	state.bytes += pieceBytes + len(chunk.Text)
	return state
}

// Start returns the index of the first token of the caller's own request.
func (state State) Start() int { return state.start }

// Tokens returns the index of the first token that was not relayed, which is the place in the stream.
func (state State) Tokens() int { return state.next }

// Relayed reports whether the state holds any token that a repeat would compute again.
func (state State) Relayed() bool { return state.next > state.start }

// Bytes returns the memory that the state takes, in bytes.
func (state State) Bytes() int { return state.bytes }

// Chunks returns the relayed chunks in order.
func (state State) Chunks() []call.Chunk {
	var chunks []call.Chunk
	for piece := state.last; piece != nil; piece = piece.previous {
		chunks = append(chunks, piece.chunk)
	}
	slices.Reverse(chunks)
	return chunks
}

// Resume returns the answer so far, for the server that continues it.
//
// Base is what the caller's own request continues; it is part of the hashed body.
func (state State) Resume(base call.Resume) call.Resume {
	var text strings.Builder
	text.WriteString(base.Text)
	for _, chunk := range state.Chunks() {
		text.WriteString(chunk.Text)
	}
	return call.Resume{Text: text.String(), Tokens: state.next}
}

// ChunksAfter returns the chunks after the received tokens, or false when no chunk ends there.
//
// The text of a chunk cannot be divided between its tokens. Nothing received
// means all chunks, and a state without tokens is continued from its start.
func (state State) ChunksAfter(received int) ([]call.Chunk, bool) {
	chunks := state.Chunks()
	if received == 0 || received == state.start || !state.Relayed() {
		return chunks, true
	}
	at := slices.IndexFunc(chunks, func(chunk call.Chunk) bool { return chunk.End() == received })
	if at < 0 {
		return nil, false
	}
	return chunks[at+1:], true
}
