package engine_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/engine"
)

// unchunked is the head of a stream that only the end of the connection ends.
const unchunked = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

// framed returns text in one chunk of the transfer encoding.
func framed(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Guards against garbage of a faulty engine that reaches the caller as a part of the answer, and against a wait for the deadline once the
// stream cannot go on. The sound chunk before the garbage is passed on, and nothing after it.
func TestGarbageInAStreamEndsTheAttempt(t *testing.T) {
	const first, last = `{"id":"r","model":"m","choices":[{"text":"a "}],"offset":0,"tokens":1}`, `{"id":"r","model":"m","choices":[{"text":"","finish_reason":"stop"}],"offset":2}`
	cases := []struct{ name, garbage string }{
		{"no JSON", event("garbage")},
		{"no UTF-8", event("{\"id\":\"r\",\"model\":\"m\",\"choices\":[{\"text\":\"b\xff \"}],\"offset\":1,\"tokens\":1}")},
		{"two values in one event", event(`{"id":"r","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":1}{}`)},
		{"two values on two lines of one event", framed("data: {\"id\":\"r\",\"model\":\"m\",\"choices\":[{\"text\":\"b \"}],\"offset\":1,\"tokens\":1}\ndata: {}\n\n")},
		{"repeated field", event(`{"id":"r","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":1,"choices":[{"text":"c "}]}`)},
		{"empty data", framed("data:\n\n")},
		{"error event", framed("event: error\ndata: " + `{"id":"r","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":1}` + "\n\n")},
		{"error as data", event(`{"error":{"message":"x"}}`)},
		{"chunk of another answer", event(`{"id":"s","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":1}`)},
		{"chunk of another model", event(`{"id":"r","model":"n","choices":[{"text":"b "}],"offset":1,"tokens":1}`)},
		{"chunk of another choice", event(`{"id":"r","model":"m","choices":[{"index":1,"text":"b "}],"offset":1,"tokens":1}`)},
		{"tokens without text", event(`{"id":"r","model":"m","choices":[{}],"offset":1,"tokens":1}`)},
		{"negative offset", event(`{"id":"r","model":"m","choices":[{"text":"b "}],"offset":-1,"tokens":1}`)},
		{"negative count", event(`{"id":"r","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":-1}`)},
		{"count beyond the caller's bound", event(`{"id":"r","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":100}`)},
		{"end that overflows", event(`{"id":"r","model":"m","choices":[{"text":"b "}],"offset":1,"tokens":9223372036854775807}`)},
		{"negative number of recomputed tokens", event(`{"id":"r","model":"m","choices":[{"text":"b ","finish_reason":"stop"}],"offset":1,"tokens":1,"recomputed":-7}`)},
		{"recomputed tokens beyond the answer", event(`{"id":"r","model":"m","choices":[{"text":"b ","finish_reason":"stop"}],"offset":1,"tokens":1,"recomputed":7}`)},
		{"end marker before the final chunk", event("[DONE]")},
		{"line of a stream beyond the bound", framed("data: " + strings.Repeat("x", 70<<10) + "\n\n")},
		{"text below the framing", "garbage\r\n"},
		{"line below the framing that ends in another way", "garbage\n"},
		{"line below the framing beyond the bound", strings.Repeat("x", 5<<10) + "\r\n"},
		{"size of a chunk that overflows", "fffffffffffffffff\r\n"},
		{"chunk longer than its size", "2\r\n: ping\r\n"},
		{"trailer that is none", "0\r\ngarbage\r\n\r\n"},
	}
	for _, c := range cases {
		for _, pause := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, then silence: %t", c.name, pause), func(t *testing.T) {
				t.Parallel()
				answer := streamHead + event(first) + c.garbage + event(last) + event("[DONE]") + "0\r\n\r\n"
				if pause {
					answer = streamHead + event(first) + c.garbage + "..."
				}
				chunks, err := completeWith(t, answer, call.Completion{Model: "m", Prompt: "p", MaxTokens: 50})
				var failure *call.Failure
				require.ErrorAs(t, err, &failure)
				assert.Equal(t, call.CauseMalformed, failure.Cause, failure.Detail)
				assert.Equal(t, call.RanUnknown, failure.Ran)
				assert.Equal(t, "s1", failure.Peer)
				assert.Equal(t, []call.Chunk{{Tokens: 1, Text: "a "}}, chunks)
			})
		}
	}
}

// Guards against the end of a stream, which may mean that the engine has crashed, being taken for garbage: the request that crashed it
// would not become a suspect.
func TestEndOfAStreamIsNoGarbage(t *testing.T) {
	const (
		first = `{"id":"r","model":"m","choices":[{"text":"a "}],"offset":0,"tokens":1}`
		whole = "data: " + first + "\n\n"
	)
	cases := []struct{ name, answer string }{
		{"behind a chunk", streamHead + event(first)},
		{"in a chunk's size", streamHead + event(first) + "2"},
		{"behind a chunk's size", streamHead + event(first) + "2d\r\n"},
		{"in a chunk", streamHead + event(first) + "2d\r\ndata: {"},
		{"behind a chunk's data", streamHead + event(first) + "2\r\n: "},
		{"in the last chunk", streamHead + event(first) + "0\r"},
		{"behind the last chunk's size", streamHead + event(first) + "0\r\n"},
		{"in a trailer", streamHead + event(first) + "0\r\nX: y"},
		{"behind the last chunk", streamHead + event(first) + "0\r\n\r\n"},
		{"behind the last chunk, in an event", streamHead + event(first) + framed("data: {\"id") + "0\r\n\r\n"},
		{"without chunks, behind an event", unchunked + whole},
		{"without chunks, in an event", unchunked + whole + "data: {\"id"},
		{"without chunks, in the type of an event", unchunked + whole + "event: mess\ndata: "},
		{"without chunks, behind the line of an event", unchunked + whole + "data: {\"id\":\n"},
		{"without chunks, in a comment", unchunked + whole + ": pi"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			chunks, err := completeWith(t, c.answer, call.Completion{Model: "m", Prompt: "p"})
			var failure *call.Failure
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, call.CauseReset, failure.Cause, failure.Detail)
			assert.Equal(t, call.RanUnknown, failure.Ran)
			assert.Equal(t, []call.Chunk{{Tokens: 1, Text: "a "}}, chunks)
		})
	}
}

// Guards against garbage that is taken for the end of a stream because the connection ends right behind it.
func TestGarbageBeforeTheEndOfAStreamIsGarbage(t *testing.T) {
	for _, answer := range []string{
		streamHead + event("garbage"),
		streamHead + event("garbage") + "2",
		streamHead + event("garbage") + "0\r\n\r\n",
		streamHead + "garbage\r\n",
		unchunked + "data: garbage\n\n",
		unchunked + "data: garbage\r\n\r\n",
		unchunked + "data: garbage\n\ndata: {\"id",
	} {
		t.Run(answer, func(t *testing.T) {
			t.Parallel()
			chunks, err := completeWith(t, answer, call.Completion{Model: "m", Prompt: "p"})
			var failure *call.Failure
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, call.CauseMalformed, failure.Cause, failure.Detail)
			assert.Empty(t, chunks)
		})
	}
}

// Guards against sound streams that are taken for garbage, and against what follows the final chunk of an answer: that answer is
// complete, whatever the server sends then.
func TestSoundStreamsAreComplete(t *testing.T) {
	const (
		first = `{"id":"r","model":"m","choices":[{"text":"a "}],"offset":7,"tokens":1}`
		final = `{"id":"r","model":"m","choices":[{"text":"b ","finish_reason":"length"}],"offset":8,"tokens":2,"recomputed":7}`
	)
	sound := event(first) + event(final)
	cases := []struct{ name, stream string }{
		{"plain", sound + event("[DONE]")},
		{"without an end marker", sound},
		{"without a blank line at the end", event(first) + framed("data: "+final+"\n")},
		{"blocks that are no events", framed("retry: 100\n\n") + framed(": ping\n\n") + framed("id: 4\n\n") + event(first) + framed("\n\n: ping\n\n") + event(final)},
		{"types of messages", framed("event: message\ndata: "+first+"\n\n") + event(final) + event("[DONE]")},
		{"unknown field", framed("x: y\nid: 1\ndata: "+first+"\n\n") + event(final)},
		{"data on two lines", framed("data: "+strings.Replace(first, ",", ",\ndata: ", 1)+"\n\n") + event(final)},
		{"garbage after the final chunk", sound + event("garbage") + event(strings.Replace(first, "7", "10", 1))},
		{"garbage below the framing after the final chunk", sound + "garbage"},
		{"second final chunk", sound + event(strings.Replace(final, `"offset":8`, `"offset":10`, 1))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			completion := call.Completion{Model: "m", Prompt: "p", MaxTokens: 10, Resume: call.Resume{Text: "x", Tokens: 7}}
			chunks, err := completeWith(t, streamHead+c.stream+"0\r\n\r\n", completion)
			require.NoError(t, err)
			assert.Equal(t, []call.Chunk{
				{Offset: 7, Tokens: 1, Text: "a "},
				{Offset: 8, Tokens: 2, Text: "b ", Final: true, FinishReason: "length", Recomputed: 7},
			}, chunks)
		})
	}
}

// completeWith sends a completion to a server that answers with fixed bytes, and returns the chunks that reach the sink.
func completeWith(t *testing.T, answer string, completion call.Completion) ([]call.Chunk, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var chunks []call.Chunk
	err := engine.New(time.Second).Complete(ctx, server(script(t, answer)), call.Request{Completion: completion},
		request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
			chunks = append(chunks, chunk)
			return nil
		}))
	return chunks, err
}
