package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/handover"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against callers that cannot distinguish an entry that leaves from a failure, and against
// repeats for which the entry does not use the number of tokens that the caller has received.
func TestLeavingEntryTellsCallersHowToGoOn(t *testing.T) {
	const notStreamed = `{"model":"m","prompt":"p"}`
	cases := []struct {
		name, body, lastEventID, id string
		chunks                      []call.Chunk
		status, received            int
		retryAfter, want            string
	}{
		{"stream", streamedBody, "", "r1", []call.Chunk{{Tokens: 4, Text: "a"}}, 200, 0, "", "event: handover\ndata: {\"RequestId\":\"r1\",\"Tokens\":4,\"RetryAfterSeconds\":2}\n"},
		{"event ids", streamedBody, "", "r1", []call.Chunk{{Tokens: 4, Text: "a"}}, 200, 0, "", "id: 4\n"},
		{"stream before its first chunk", streamedBody, "", "r1", nil, 503, 0, "2", `"code":"Handover"`},
		{"not streamed", notStreamed, "", "r1", []call.Chunk{{Tokens: 4, Text: "a"}}, 503, 0, "2", "X-Request-Id r1"},
		{"repeated stream", streamedBody, "4", "r1", nil, 503, 4, "2", ""},
		{"repeat that is not streamed", notStreamed, "4", "r1", nil, 503, 0, "2", ""},
		{"without a request id", streamedBody, "", "", nil, 503, 0, "2", ""},
		{"malformed Last-Event-ID", streamedBody, "four", "r1", nil, 400, -1, "", `Last-Event-ID \"four\"`},
		{"negative Last-Event-ID", streamedBody, "-4", "r1", nil, 400, -1, "", "Last-Event-ID"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := listen(t, func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				callRequest := exchange.Request
				assert.Equal(t, c.received, callRequest.Received)
				assert.Equal(t, c.id != "", callRequest.Named)
				tokens := 0
				for _, chunk := range c.chunks {
					assert.NoError(t, exchange.Sink.Send(ctx, chunk))
					tokens = chunk.End()
				}
				return exchange, &handover.Interruption{ID: callRequest.ID, Tokens: tokens, Held: true, RetryAfter: 1500 * time.Millisecond}
			})
			header := map[string]string{"Authorization": "Bearer key", "X-Request-Id": c.id, "Last-Event-ID": c.lastEventID}
			response, text := send(t, url+"/v1/completions", c.body, header)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Equal(t, c.retryAfter, response.Header.Get("Retry-After"))
			assert.Contains(t, text, c.want)
			assert.NotContains(t, text, "[DONE]")
			if c.id != "" {
				assert.Equal(t, c.id, response.Header.Get("X-Request-Id"))
			}
		})
	}
}
