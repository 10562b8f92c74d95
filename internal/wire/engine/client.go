package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

const step = "complete"

// Client sends completions to model engines; several threads may use it.
type Client struct {
	http *httpclient.Client
}

// New returns a client that gives up connecting after dialTimeout.
func New(dialTimeout time.Duration) (*Client, error) {
	client, err := httpclient.New(dialTimeout, httpclient.Reuse)
	if err != nil {
		return nil, err
	}
	return &Client{http: client}, nil
}

// Complete relays the chunks of the engine's answer to sink.
//
// It returns a [*call.Failure] when the answer ends without its end marker, and
// the sink's error when the sink fails.
func (client *Client) Complete(ctx context.Context, server backend.Server, next call.Request, sink request.Sink) error {
	body, err := openai.EncodeForEngine(next.Completion)
	if err != nil {
		return call.Refuse(call.ReasonMalformed, "%v", err)
	}
	outgoing, incoming := protocol.AcquireRequest(), &protocol.Response{}
	outgoing.SetMethod(http.MethodPost)
	outgoing.SetRequestURI("http://" + server.Address + path(next.Completion))
	outgoing.Header.SetContentTypeBytes([]byte("application/json"))
	outgoing.Header.Set("X-Request-Id", next.ID)
	sse.AddAcceptMIME(outgoing)
	outgoing.SetBody(body)
	if err := client.http.Do(ctx, outgoing, incoming); err != nil {
		return httpclient.Failure(ctx, err, step, server.Name)
	}
	if status := incoming.StatusCode(); status != http.StatusOK {
		return httpclient.StatusFailure(status, incoming.Body(), step, server.Name)
	}
	return relay(ctx, incoming, server.Name, sink)
}

func relay(ctx context.Context, incoming *protocol.Response, peer string, sink request.Sink) error {
	reader, err := sse.NewReader(incoming)
	if err != nil {
		return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: step, Peer: peer, Detail: err.Error()}
	}
	defer reader.Close() //nolint:errcheck // the answer is over, whatever closing says
	var sinkErr error
	final := false
	err = reader.ForEach(ctx, func(event *sse.Event) error {
		if string(event.Data) == openai.Done {
			return nil
		}
		chunk, err := openai.DecodeChunk(event.Data)
		if err != nil {
			return err
		}
		final = final || chunk.Final
		sinkErr = sink.Send(ctx, chunk)
		return sinkErr
	})
	switch {
	case sinkErr != nil:
		return sinkErr
	case final:
		return nil
	case err != nil:
		return httpclient.Failure(ctx, err, step, peer)
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: step, Peer: peer, Detail: "stream ended without its end marker"}
}

func path(completion call.Completion) string {
	if completion.Chat {
		return openai.ChatPath
	}
	return openai.CompletionsPath
}
