package handover

import (
	"slices"
	"strings"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// State is a completion in progress with the part of its answer that was relayed to the caller.
type State struct {
	// ID is the request id, with which the caller repeats the request.
	ID string
	// Account is the only client account that may resume the completion.
	Account string
	// BodyHash is the hash of the caller's request; a repeat must have the same one.
	BodyHash string
	// firstToken is the number of answer tokens that the caller already had when it sent
	// its request, because the request resumes an earlier answer.
	firstToken int
	lastNode   *chunkNode
	nextToken  int
	bytes      int
}

// chunkNode is a relayed chunk in a list linked from last to first, so that successive states share their chunks.
type chunkNode struct {
	previous *chunkNode
	chunk    call.Chunk
}

// nodeBytes is the memory of a chunkNode, excluding its text.
const nodeBytes = 96

// stateBytes is the memory of a State, excluding its strings and chunks.
const stateBytes = 256

// NewState returns the state of a request before any token was relayed.
//
// Start is the number of answer tokens that the caller already has according to the request.
func NewState(id, account, bodyHash string, start int) State {
	return State{
		ID: id, Account: account, BodyHash: bodyHash, firstToken: start, nextToken: start,
		bytes: stateBytes + len(id) + len(account) + len(bodyHash),
	}
}

// WithBodyHash returns the state with the hash of the caller's request.
func (state State) WithBodyHash(bodyHash string) State {
	state.bytes += len(bodyHash) - len(state.BodyHash)
	state.BodyHash = bodyHash
	return state
}

// WithChunk returns the state after a chunk was relayed.
func (state State) WithChunk(chunk call.Chunk) State {
	state.lastNode = &chunkNode{previous: state.lastNode, chunk: chunk}
	state.nextToken = chunk.End()
	state.bytes += nodeBytes + len(chunk.Text)
	return state
}

// Start returns the index, in the whole answer, of the first token that the caller requested.
func (state State) Start() int { return state.firstToken }

// Tokens returns the index of the first token that was not relayed, which is the position in the stream.
func (state State) Tokens() int { return state.nextToken }

// Relayed reports whether the state contains any token, which a repeat without the state would compute again.
func (state State) Relayed() bool { return state.nextToken > state.firstToken }

// Bytes returns the estimated memory of the state in bytes.
func (state State) Bytes() int { return state.bytes }

// Chunks returns the relayed chunks, first to last.
func (state State) Chunks() []call.Chunk {
	var chunks []call.Chunk
	for node := state.lastNode; node != nil; node = node.previous {
		chunks = append(chunks, node.chunk)
	}
	slices.Reverse(chunks)
	return chunks
}

// Resume returns the answer so far, to send to the server that continues it.
//
// Base is the part of the answer that the caller's request resumes; it is part of the hashed body.
func (state State) Resume(base call.Resume) call.Resume {
	var text strings.Builder
	text.WriteString(base.Text)
	for _, chunk := range state.Chunks() {
		text.WriteString(chunk.Text)
	}
	return call.Resume{Text: text.String(), Tokens: state.nextToken}
}

// ChunksAfter returns the chunks that follow the received tokens, or false if no chunk
// ends at that token.
//
// A position within a chunk is not possible because its text cannot be split by
// token. If received is 0 or the state's start, or the state has no tokens, all
// chunks are returned.
func (state State) ChunksAfter(received int) ([]call.Chunk, bool) {
	chunks := state.Chunks()
	if received == 0 || received == state.firstToken || !state.Relayed() {
		return chunks, true
	}
	index := slices.IndexFunc(chunks, func(chunk call.Chunk) bool { return chunk.End() == received })
	if index < 0 {
		return nil, false
	}
	return chunks[index+1:], true
}
