package openai_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

// Guards against malformed bodies that are accepted, or whose error does not contain the malformed field.
func TestDecodeRequestNamesTheFault(t *testing.T) {
	cases := []struct {
		name, body, want string
		chat             bool
	}{
		{"not JSON", `{`, "body: ", false},
		{"no model", `{"prompt":"p"}`, "model: missing", false},
		{"no prompt", `{"model":"m"}`, "prompt: missing", false},
		{"prompt of another type", `{"model":"m","prompt":["p"]}`, "prompt", false},
		{"no messages", `{"model":"m"}`, "messages: missing", true},
		{"two answers", `{"model":"m","prompt":"p","n":2}`, "n: 2 is not supported", false},
		{"negative length", `{"model":"m","prompt":"p","max_tokens":-1}`, "max_tokens: less than 0", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := openai.DecodeRequest([]byte(c.body), c.chat)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against requests to the engine that lack parameters of the caller or the resume position.
func TestEngineRequestKeepsParametersAndAddsResume(t *testing.T) {
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"hello"}],"temperature":0.5}`)
	request, err := openai.DecodeRequest(body, true)
	require.NoError(t, err)
	completion := request.Completion(body, true)
	assert.Equal(t, "user: hello\n", completion.Prompt)
	completion.Resume = call.Resume{Text: "so far", Tokens: 2}
	completion.Priority = 3
	encoded, err := openai.EncodeForEngine(completion)
	require.NoError(t, err)
	assert.JSONEq(t, `{"model":"m","messages":[{"role":"user","content":"hello"}],"temperature":0.5,
		"stream":true,"priority":3,"resume":{"text":"so far","tokens":2}}`, string(encoded))
}

// Guards against chunks that change when they are encoded and decoded.
func TestChunkRoundTrip(t *testing.T) {
	chunks := []call.Chunk{
		{Offset: 3, Tokens: 2, Text: "of lace "},
		{Offset: 5, Final: true, FinishReason: "stop", Recomputed: 3},
	}
	for _, chat := range []bool{false, true} {
		for _, chunk := range chunks {
			data, err := openai.EncodeChunk(openai.Head{ID: "1", Model: "m", Chat: chat}, chunk)
			require.NoError(t, err)
			decoded, err := openai.DecodeChunk(data)
			require.NoError(t, err)
			assert.Equal(t, chunk, decoded)
		}
	}
	_, err := openai.DecodeChunk([]byte(`{"choices":[]}`))
	require.ErrorContains(t, err, "0 choices")
	_, err = openai.DecodeChunk([]byte(`{"choices":[{}],"offset":-1}`))
	require.ErrorContains(t, err, "must not be negative")
}

// FuzzDecode guards against malformed input that makes a decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","choices":[{"text":"x"}]}`))
	f.Add([]byte(`{"choices":[null]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = openai.DecodeRequest(data, true)
		_, _ = openai.DecodeChunk(data)
	})
}
