package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

const (
	// step names this stand-in in the failures that it returns.
	step = "caller"
	// dialTimeout bounds the time to connect to an entry.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of an error, or of an answer that is not streamed; a longer one is truncated.
	maxAnswerBytes = 1 << 20
	// ranHeader carries a [call.Ran]: whether a failed request ran at a backend server.
	ranHeader = "X-Ran"
)

// Caller sends requests to one entry with the access key of one client account. It is safe for concurrent use.
type Caller struct {
	http    *httpclient.Client
	address string
	key     string
}

// New returns a caller for the entry at address ("IP:port") with a client account's access key.
func New(address, key string) *Caller {
	return &Caller{http: httpclient.New(dialTimeout, httpclient.Reuse), address: address, key: key}
}

// Handle sends a request. The chunks of a streamed answer go to the exchange's sink, and any other
// answer is returned in the exchange.
//
// It returns a [*call.Refusal] when the entry reports that the request did not run,
// and a [*call.Failure] when the answer is an error, out of order or truncated.
func (caller *Caller) Handle(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	if exchange.Request.Operation.Method == "" {
		return exchange, caller.complete(ctx, exchange)
	}
	answer, err := caller.operate(ctx, exchange.Request)
	exchange.Answer = answer
	return exchange, err
}

func (caller *Caller) operate(ctx context.Context, outgoing call.Request) (call.Answer, error) {
	response, err := caller.send(ctx, outgoing, outgoing.Operation.Method, "/services/"+outgoing.Service+outgoing.Operation.Path, outgoing.Operation.Body)
	if err != nil {
		return call.Answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return call.Answer{}, httpclient.ClassifyError(ctx, err, step, caller.address)
	}
	return call.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

func (caller *Caller) complete(ctx context.Context, exchange request.Exchange) error {
	completion := exchange.Request.Completion
	body, err := json.Marshal(openai.Request{Model: completion.Model, Prompt: completion.Prompt, MaxTokens: completion.MaxTokens, Stream: true})
	if err != nil {
		return call.Refuse(call.ReasonMalformed, "%v", err)
	}
	response, err := caller.send(ctx, exchange.Request, http.MethodPost, openai.CompletionsPath, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return caller.relayStream(ctx, response, exchange.Sink)
}

// send sends a request. It returns the response if its status is 200, and otherwise the error in its body.
func (caller *Caller) send(ctx context.Context, outgoing call.Request, method, path string, body []byte) (*http.Response, error) {
	header := http.Header{
		"Authorization": {"Bearer " + caller.key},
		"Content-Type":  {"application/json"},
		"X-Request-Id":  {outgoing.ID},
	}
	if outgoing.IdempotencyKey != "" {
		header.Set("Idempotency-Key", outgoing.IdempotencyKey)
	}
	response, err := caller.http.Do(ctx, httpclient.Call{Method: method, URL: "http://" + caller.address + path, Header: header, Body: body})
	if err != nil {
		return nil, httpclient.ClassifyError(ctx, err, step, caller.address)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	ran := call.Ran(response.Header.Get(ranHeader))
	if ran == "" {
		ran = call.RanUnknown
	}
	return nil, caller.decodeError(text, fmt.Sprintf("status %d", response.StatusCode), ran)
}

// decodeError decodes an error body. It returns a [*call.Refusal] if the request did not run, and
// otherwise, or if the body is malformed, a [*call.Failure] with detail and the message from the body.
func (caller *Caller) decodeError(body []byte, detail string, ran call.Ran) error {
	var decoded struct {
		Error struct {
			Message, Code string
		}
	}
	if json.Unmarshal(body, &decoded) == nil && ran == call.RanNo {
		return call.Refuse(call.Reason(decoded.Error.Code), "%s", decoded.Error.Message)
	}
	return &call.Failure{Ran: ran, Cause: call.CauseStatus, Step: step, Peer: caller.address, Detail: detail + ": " + decoded.Error.Message}
}
