package stream_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// TestMain fixes the seed of rapid, which it takes from the clock otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// chunks divides the tokens of an answer at random places.
func chunks(t *rapid.T, tokens []string, label string) []call.Chunk {
	var answer []call.Chunk
	for at := 0; at < len(tokens); {
		end := rapid.IntRange(at+1, len(tokens)).Draw(t, label)
		answer = append(answer, call.Chunk{Offset: at, Tokens: end - at, Text: strings.Join(tokens[at:end], "")})
		at = end
	}
	return append(answer, call.Chunk{Offset: len(tokens), Final: true})
}

// Guards against tokens that are lost, doubled or out of order when chunks of
// two servers arrive in any order, repeated, and divided at different tokens.
func TestAnyArrivalYieldsTheExactTextOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "aa", "b"}), 0, 12).Draw(t, "tokens")
		arrivals := append(chunks(t, tokens, "one"), chunks(t, tokens, "two")...)
		arrivals = append(arrivals, rapid.SliceOfN(rapid.SampledFrom(arrivals), 0, 10).Draw(t, "repeats")...)
		var assembler stream.Assembler
		text, next, finals := "", 0, 0
		for _, chunk := range rapid.Permutation(arrivals).Draw(t, "arrivals") {
			before, resume := assembler, assembler.Resume()
			var due []call.Chunk
			var verdict stream.ChunkResult
			assembler, due, verdict = assembler.WithChunk(chunk)
			assert.Equal(t, stream.ChunkAccepted, verdict)
			assert.Equal(t, resume, before.Resume(), "an earlier value changed")
			for _, piece := range due {
				assert.Equal(t, next, piece.Offset)
				text, next = text+piece.Text, piece.End()
				if piece.Final {
					finals++
				}
			}
			assert.Equal(t, call.Resume{Text: text, Tokens: next}, assembler.Resume())
		}
		assert.Equal(t, strings.Join(tokens, ""), text)
		assert.Equal(t, 1, finals)
		assert.True(t, assembler.Finished())
	})
}

// Guards against a wrong guess about a chunk that cannot be used as it comes.
func TestWithChunkAtOverlapsAndConflicts(t *testing.T) {
	first := call.Chunk{Tokens: 3, Text: "abc"}
	cases := []struct {
		name    string
		chunks  []call.Chunk
		text    string
		verdict stream.ChunkResult
	}{
		{"overlap from a known boundary is trimmed", []call.Chunk{first, {Offset: 0, Tokens: 4, Text: "abcd"}}, "abcd", stream.ChunkAccepted},
		{"overlap from an unknown boundary is held", []call.Chunk{first, {Offset: 2, Tokens: 2, Text: "cd"}}, "abc", stream.ChunkAccepted},
		{"held overlap is trimmed once a repeat shows its start", []call.Chunk{first, {Offset: 2, Tokens: 2, Text: "cd"}, {Offset: 0, Tokens: 2, Text: "ab"}}, "abcd", stream.ChunkAccepted},
		{"other text for the same tokens", []call.Chunk{first, {Offset: 0, Tokens: 4, Text: "xbcd"}}, "abc", stream.ChunkConflict},
		{"more text for the same tokens", []call.Chunk{first, {Offset: 0, Tokens: 3, Text: "abcd"}}, "abc", stream.ChunkConflict},
		{"end before the answer so far", []call.Chunk{first, {Offset: 0, Tokens: 2, Text: "ab", Final: true}}, "abc", stream.ChunkConflict},
		{"text without tokens", []call.Chunk{first, {Offset: 3, Text: "d"}}, "abc", stream.ChunkConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var assembler stream.Assembler
			var verdict stream.ChunkResult
			for _, chunk := range c.chunks {
				assembler, _, verdict = assembler.WithChunk(chunk)
			}
			assert.Equal(t, c.verdict, verdict)
			assert.Equal(t, c.text, assembler.Resume().Text)
		})
	}
}

// Guards against a buffer that grows without bound behind a lost chunk.
func TestHeldChunksAreBounded(t *testing.T) {
	var assembler stream.Assembler
	var verdicts []stream.ChunkResult
	for i := range stream.MaxHeldChunks + 1 {
		var verdict stream.ChunkResult
		assembler, _, verdict = assembler.WithChunk(call.Chunk{Offset: i + 1, Tokens: 1, Text: fmt.Sprint(i)})
		verdicts = append(verdicts, verdict)
	}
	assert.Equal(t, stream.MaxHeldChunks, slices.Index(verdicts, stream.ChunkOverflow))
}
