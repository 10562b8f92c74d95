package caller_test

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/caller"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	wire "github.com/rosemaryspar/rosemaryspar/internal/wire/caller"
)

// Guards against a caller that reports a refused, failed, reordered or truncated answer as complete.
func TestHandleReportsHowRequestsEnd(t *testing.T) {
	first, second := call.Chunk{Tokens: 1, Text: "a "}, call.Chunk{Offset: 1, Tokens: 1, Text: "b "}
	final := call.Chunk{Offset: 2, Final: true, FinishReason: "stop"}
	cases := []struct {
		name   string
		chunks []call.Chunk
		err    error
		cause  call.Cause
		reason call.Reason
	}{
		{name: "complete", chunks: []call.Chunk{first, second, final}},
		{name: "gap", chunks: []call.Chunk{first, final}, cause: call.CauseMalformed},
		{name: "repeated chunk", chunks: []call.Chunk{first, first}, cause: call.CauseMalformed},
		{name: "no final chunk", chunks: []call.Chunk{first, second}, cause: call.CauseMalformed},
		{name: "error in the stream", chunks: []call.Chunk{first}, err: &call.Failure{Ran: call.RanYes}, cause: call.CauseStatus},
		{name: "error before the stream", err: &call.Failure{Ran: call.RanYes}, cause: call.CauseStatus},
		{name: "refused", err: call.Refuse(call.ReasonOverLimit, "full"), reason: call.ReasonOverLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, err := wire.Listen("127.0.0.1:0", 4096, request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				for _, chunk := range c.chunks {
					if err := exchange.Sink.Send(ctx, chunk); err != nil {
						return exchange, err
					}
				}
				return exchange, c.err
			}))
			require.NoError(t, err)
			go func() { _ = server.Serve(t.Context()) }()
			text := ""
			sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
				text += chunk.Text
				return nil
			})
			outgoing := call.Request{ID: "r", Service: "m", Completion: call.Completion{Model: "m", Prompt: "p"}}
			_, err = caller.New(server.Address(), "key").Handle(t.Context(), request.Exchange{Request: outgoing, Sink: sink})
			var failure *call.Failure
			var refusal *call.Refusal
			switch {
			case c.reason != "":
				require.ErrorAs(t, err, &refusal)
				assert.Equal(t, c.reason, refusal.Reason)
			case c.cause != "":
				require.True(t, errors.As(err, &failure), "%v", err)
				assert.Equal(t, c.cause, failure.Cause)
			default:
				require.NoError(t, err)
				assert.Equal(t, "a b ", text)
			}
		})
	}
}
