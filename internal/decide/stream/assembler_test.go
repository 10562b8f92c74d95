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

// TestMain sets a fixed seed for rapid, which otherwise takes its seed from the clock.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// chunks divides an answer into chunks at random token boundaries and appends the final chunk.
func chunks(t *rapid.T, tokens []string, label string) []call.Chunk {
	var answer []call.Chunk
	for at := 0; at < len(tokens); {
		end := rapid.IntRange(at+1, len(tokens)).Draw(t, label)
		answer = append(answer, call.Chunk{Offset: at, Tokens: end - at, Text: strings.Join(tokens[at:end], "")})
		at = end
	}
	return append(answer, call.Chunk{Offset: len(tokens), Final: true})
}

// Guards against tokens that are lost, duplicated or out of order when the chunks of two
// servers, divided at different tokens, arrive repeatedly and in any order.
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
			var result stream.ChunkResult
			assembler, due, result = assembler.WithChunk(chunk)
			assert.Equal(t, stream.ChunkAccepted, result)
			assert.Equal(t, resume, before.Resume(), "WithChunk changed the earlier value")
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

// Guards against wrong text from a chunk that overlaps the answer so far, contradicts it, or
// starts at an unknown token boundary.
func TestWithChunkAtOverlapsAndConflicts(t *testing.T) {
	first := call.Chunk{Tokens: 3, Text: "abc"}
	cases := []struct {
		name   string
		chunks []call.Chunk
		text   string
		result stream.ChunkResult
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
			var result stream.ChunkResult
			for _, chunk := range c.chunks {
				assembler, _, result = assembler.WithChunk(chunk)
			}
			assert.Equal(t, c.result, result)
			assert.Equal(t, c.text, assembler.Resume().Text)
		})
	}
}

// Guards against a number of held chunks that grows without bound after a chunk was lost.
func TestHeldChunksAreBounded(t *testing.T) {
	var assembler stream.Assembler
	var results []stream.ChunkResult
	for i := range stream.MaxHeldChunks + 1 {
		var result stream.ChunkResult
		assembler, _, result = assembler.WithChunk(call.Chunk{Offset: i + 1, Tokens: 1, Text: fmt.Sprint(i)})
		results = append(results, result)
	}
	assert.Equal(t, stream.MaxHeldChunks, slices.Index(results, stream.ChunkOverflow))
}

// Guards against an answer that ends as complete in front of a chunk of it that has arrived: a final chunk drops the held ones, also those
// that begin behind it.
func TestFinalChunkInFrontOfAHeldOneIsAConflict(t *testing.T) {
	assembler, _, result := stream.Assembler{}.WithChunk(call.Chunk{Tokens: 1, Text: "a"})
	assert.Equal(t, stream.ChunkAccepted, result)
	assembler, _, result = assembler.WithChunk(call.Chunk{Offset: 9, Tokens: 1, Text: "z"})
	assert.Equal(t, stream.ChunkAccepted, result)
	assembler, due, result := assembler.WithChunk(call.Chunk{Offset: 1, Final: true})
	assert.Equal(t, stream.ChunkConflict, result)
	assert.Empty(t, due)
	assert.False(t, assembler.Finished())
}
