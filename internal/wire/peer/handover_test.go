package peer_test

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/peer"
)

// newHandoverStore returns a store of the kind that an entry uses.
func newHandoverStore() peer.HandoverStore {
	return handover.New(membership.Member{}, nil, nil).Holder()
}

func newState(id string, chunks int) decide.State {
	state := decide.NewState(id, "desk", "hash", 3)
	for range chunks {
		state = state.WithChunk(call.Chunk{Offset: state.Tokens(), Tokens: 4, Text: "un motif de dentelle. "})
	}
	return state
}

// Guards against a state that changes between entries or is returned for the wrong request,
// and against a Hold that succeeds although no peer stored the state: the caller would then
// resume a completion whose state no entry has.
func TestHandoverBetweenEntries(t *testing.T) {
	storing, _ := serve(t, entry{handoverStore: newHandoverStore()})
	earlierRelease, _ := serve(t, entry{})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := membership.Member{Profile: membership.Profile{Address: closed.Addr().String()}}
	require.NoError(t, closed.Close())
	client := peer.NewClient()
	defer client.Close()
	state := newState("r1", 2).WithChunk(call.Chunk{Offset: 11, Tokens: 1, Text: "é\xff"})
	require.NoError(t, client.Hold(t.Context(), storing, state))
	query := decide.Query{ID: "r1", Account: "desk", BodyHash: "hash", Received: 7}
	for _, want := range []decide.Verdict{decide.VerdictOtherAccount, decide.VerdictOtherBody, decide.VerdictNoBoundary, decide.VerdictTaken, decide.VerdictMissing} {
		request := query
		switch want {
		case decide.VerdictOtherAccount:
			request.Account = "kitchen"
		case decide.VerdictOtherBody:
			request.BodyHash = ""
		case decide.VerdictNoBoundary:
			request.Received = 8
		}
		taken, verdict, err := client.Take(t.Context(), storing, request)
		require.NoError(t, err)
		assert.Equal(t, want, verdict)
		if verdict == decide.VerdictTaken {
			assert.Equal(t, state, taken)
		}
	}
	// The store has room for 15 of these. They are small, since a call has one second: under the race detector and beside
	// other work, 3 MB took longer.
	full := decide.NewState("r2", "desk", "", 0).WithChunk(call.Chunk{Tokens: 1, Text: strings.Repeat("x", decide.MaxBytes/16+64)})
	for range 15 {
		full.ID += "x"
		require.NoError(t, client.Hold(t.Context(), storing, full))
	}
	for name, target := range map[string]membership.Member{"r3": storing, "r4": earlierRelease, "r5": unreachable} {
		full.ID = name
		assert.ErrorIs(t, client.Hold(t.Context(), target, full), handover.ErrNotHeld, name)
	}
}

// Guards against a state whose arrays do not match its text, which would panic while it is decoded.
func TestMalformedHandoverIsRefused(t *testing.T) {
	for _, message := range []*peer.Handover{{Tokens: []uint32{1}}, {Tokens: []uint32{1}, Lengths: []uint32{9}, Text: []byte("x")}, {Text: []byte("x")}} {
		_, err := peer.DecodeHandover(message)
		assert.Error(t, err)
	}
}

// BenchmarkHandover reports the cost of sending one state to a peer on an open
// connection: the bytes in both directions and the processor time of both sides.
// The cases "acceptance" and "chunk" have the sizes of the messages that would replicate
// every completion to a peer: a 4 KB request and one chunk of its answer.
func BenchmarkHandover(b *testing.B) {
	accepted := decide.NewState("r1", "desk", "hash", 0).WithChunk(call.Chunk{Tokens: 1, Text: strings.Repeat("x", 4096)})
	for name, state := range map[string]decide.State{"acceptance": accepted, "chunk": newState("r1", 1), "answer of 500 tokens": newState("r1", 125)} {
		b.Run(name, func(b *testing.B) {
			target, bytes := serve(b, entry{handoverStore: newHandoverStore()})
			client := peer.NewClient()
			defer client.Close()
			start := processorTime()
			for b.Loop() {
				require.NoError(b, client.Hold(b.Context(), target, state))
			}
			b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(b.N), "cpu-us/call")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/call")
			b.ReportMetric(float64(state.Bytes()), "B/state")
		})
	}
}
