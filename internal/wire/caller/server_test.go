package caller_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/caller"
)

// listen serves a front end whose requests are answered by handle, and returns its URL.
func listen(t *testing.T, handle request.HandlerFunc) string {
	t.Helper()
	server, err := caller.Listen("127.0.0.1:0", 4096, handle)
	require.NoError(t, err)
	go func() { _ = server.Serve(t.Context()) }()
	return "http://" + server.Address()
}

func send(t *testing.T, url, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	for name, value := range header {
		outgoing.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(outgoing)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(text)
}

var authorized = map[string]string{"Authorization": "Bearer key"}

const streamedBody = `{"model":"m","prompt":"p","stream":true}`

// Guards against malformed input that reaches the request path, or whose refusal does not report
// what is wrong and that nothing ran.
func TestMalformedRequestsAreRefusedAsNotRun(t *testing.T) {
	url := listen(t, func(context.Context, request.Exchange) (request.Exchange, error) {
		t.Error("a malformed request reached the request path")
		return request.Exchange{}, nil
	})
	cases := []struct {
		name, path, body string
		header           map[string]string
		status           int
		want             string
	}{
		{"no key", "/v1/completions", streamedBody, nil, 401, `must be \"Bearer KEY\"`},
		{"key of another scheme", "/v1/completions", streamedBody, map[string]string{"Authorization": "Basic x"}, 401, "Bearer"},
		{"not JSON", "/v1/completions", "{", authorized, 400, "body:"},
		{"no model", "/v1/chat/completions", `{"messages":[{"role":"user","content":"x"}]}`, authorized, 400, "model: missing"},
		{"long id", "/services/stock/x", "", map[string]string{"Authorization": "Bearer key", "X-Request-Id": strings.Repeat("x", 201)}, 400, "at most 200 bytes"},
		{"unknown path", "/v2/completions", streamedBody, authorized, 404, "no such path: /v2/completions"},
		{"no service", "/services/", "", authorized, 404, "no such path"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, text := send(t, url+c.path, c.body, c.header)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Contains(t, text, c.want)
			assert.Equal(t, "NotRun", response.Header.Get("X-Ran"))
		})
	}
	response, _ := send(t, url+"/v1/completions", strings.Repeat("x", 8192), authorized)
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}

// Guards against answers that do not report whether the request ran, and against a truncated
// answer that looks complete.
func TestEndsOfRequestsAreToldApart(t *testing.T) {
	chunk := call.Chunk{Tokens: 1, Text: "a "}
	final := call.Chunk{Offset: 1, Final: true, FinishReason: "stop"}
	resetFailure := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "complete", Peer: "s1"}
	cases := []struct {
		name, body     string
		chunks         []call.Chunk
		err            error
		status         int
		ran            string
		want, unwanted string
	}{
		{"streamed", streamedBody, []call.Chunk{chunk, final}, nil, 200, "", "data: [DONE]", "event: error"},
		{"not streamed", `{"model":"m","prompt":"p"}`, []call.Chunk{chunk, final}, nil, 200, "", `"completion_tokens":1`, "data:"},
		{"refused", streamedBody, nil, call.Refuse(call.ReasonOverLimit, "too many").WithRetryAfter(1500 * time.Millisecond), 429, "NotRun", `"code":"OverLimit"`, "data:"},
		{"failed before the first chunk", streamedBody, nil, resetFailure, 502, "Unknown", `"ran":"Unknown"`, "data:"},
		{"failed in the stream", streamedBody, []call.Chunk{chunk}, resetFailure, 200, "", "event: error", "[DONE]"},
		{"failed before the end of an answer that is not streamed", `{"model":"m","prompt":"p"}`, []call.Chunk{chunk}, resetFailure, 502, "Unknown", `"code":"Reset"`, "a "},
		{"timeout", streamedBody, nil, &call.Failure{Ran: call.RanYes, Cause: call.CauseTimeout}, 504, "Run", `"code":"Timeout"`, "data:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := listen(t, func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
				for _, chunk := range c.chunks {
					if err := exchange.Sink.Send(ctx, chunk); err != nil {
						return exchange, err
					}
				}
				return exchange, c.err
			})
			response, text := send(t, url+"/v1/completions", c.body, authorized)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Equal(t, c.ran, response.Header.Get("X-Ran"))
			assert.Contains(t, text, c.want)
			assert.NotContains(t, text, c.unwanted)
			if c.ran == "NotRun" {
				assert.Equal(t, "2", response.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against operations that the entry changes before it forwards them.
func TestOperationsArePassedOnWhole(t *testing.T) {
	received := make(chan call.Request, 1)
	url := listen(t, func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
		received <- exchange.Request
		return exchange.WithAnswer(call.Answer{Status: 201, ContentType: "text/plain", Body: []byte("made")}), nil
	})
	header := map[string]string{"Authorization": "Bearer key", "Idempotency-Key": "k1", "X-Request-Id": "r1", "Content-Type": "text/x"}
	response, text := send(t, url+"/services/deposit/orders/a%2Fb%20c?at=noon", "body", header)
	assert.Equal(t, 201, response.StatusCode)
	assert.Equal(t, "made", text)
	assert.Equal(t, "r1", response.Header.Get("X-Request-Id"))
	got := <-received
	assert.Equal(t, "deposit", got.Service)
	assert.Equal(t, "k1", got.IdempotencyKey)
	assert.Equal(t, call.Operation{Method: "POST", Path: "/orders/a%2Fb%20c?at=noon", ContentType: "text/x", Body: []byte("body")}, got.Operation)
}
