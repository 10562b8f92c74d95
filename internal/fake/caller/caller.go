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
	step = "caller"
	// dialTimeout bounds connecting to an entry.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer that is no stream.
	maxAnswerBytes = 1 << 20
	// ranHeader says whether a request that failed ran.
	ranHeader = "X-Ran"
)

// Caller sends requests to one entry; several threads may use it.
type Caller struct {
	http    *httpclient.Client
	address string
	key     string
}

// New returns a caller of the entry at address ("IP:port") with a client account's access key.
func New(address, key string) *Caller {
	return &Caller{http: httpclient.New(dialTimeout, httpclient.Reuse), address: address, key: key}
}

// Handle sends a request and relays the chunks of a streamed answer to the exchange's sink.
//
// It returns a [*call.Refusal] when the entry says that the request did not run,
// and a [*call.Failure] when the answer is an error, out of order or cut off.
func (caller *Caller) Handle(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
	if exchange.Request.Operation.Method == "" {
		return exchange, caller.complete(ctx, exchange)
	}
	answer, err := caller.operate(ctx, exchange.Request)
	exchange.Answer = answer
	return exchange, err
}

func (caller *Caller) operate(ctx context.Context, next call.Request) (call.Answer, error) {
	incoming, err := caller.send(ctx, next, next.Operation.Method, "/services/"+next.Service+next.Operation.Path, next.Operation.Body)
	if err != nil {
		return call.Answer{}, err
	}
	defer incoming.Body.Close()
	body, err := io.ReadAll(io.LimitReader(incoming.Body, maxAnswerBytes))
	if err != nil {
		return call.Answer{}, httpclient.Failure(ctx, err, step, caller.address)
	}
	return call.Answer{Status: incoming.StatusCode, ContentType: incoming.Header.Get("Content-Type"), Body: body}, nil
}

func (caller *Caller) complete(ctx context.Context, exchange request.Exchange) error {
	completion := exchange.Request.Completion
	body, err := json.Marshal(openai.Request{Model: completion.Model, Prompt: completion.Prompt, MaxTokens: completion.MaxTokens, Stream: true})
	if err != nil {
		return call.Refuse(call.ReasonMalformed, "%v", err)
	}
	incoming, err := caller.send(ctx, exchange.Request, http.MethodPost, openai.CompletionsPath, body)
	if err != nil {
		return err
	}
	defer incoming.Body.Close()
	return caller.read(ctx, incoming, exchange.Sink)
}

// send returns the answer if its status is 200, and the error that it states otherwise.
func (caller *Caller) send(ctx context.Context, next call.Request, method, path string, body []byte) (*http.Response, error) {
	header := http.Header{
		"Authorization": {"Bearer " + caller.key},
		"Content-Type":  {"application/json"},
		"X-Request-Id":  {next.ID},
	}
	if next.IdempotencyKey != "" {
		header.Set("Idempotency-Key", next.IdempotencyKey)
	}
	incoming, err := caller.http.Do(ctx, httpclient.Call{Method: method, URL: "http://" + caller.address + path, Header: header, Body: body})
	if err != nil {
		return nil, httpclient.Failure(ctx, err, step, caller.address)
	}
	if incoming.StatusCode == http.StatusOK {
		return incoming, nil
	}
	defer incoming.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(incoming.Body, maxAnswerBytes))
	ran := call.Ran(incoming.Header.Get(ranHeader))
	if ran == "" {
		ran = call.RanUnknown
	}
	return nil, caller.stated(text, fmt.Sprintf("status %d", incoming.StatusCode), ran)
}

// stated returns the error that the body of an error describes.
func (caller *Caller) stated(body []byte, detail string, ran call.Ran) error {
	var stated struct {
		Error struct {
			Message, Code string
		}
	}
	if json.Unmarshal(body, &stated) == nil && ran == call.RanNot {
		return call.Refuse(call.Reason(stated.Error.Code), "%s", stated.Error.Message)
	}
	return &call.Failure{Ran: ran, Cause: call.CauseStatus, Step: step, Peer: caller.address, Detail: detail + ": " + stated.Error.Message}
}
