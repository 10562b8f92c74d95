package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

// position is how far a stream has been read.
type position struct {
	tokens      int
	final, done bool
}

// read relays a stream to sink and checks that it is whole and in order.
func (caller *Caller) read(ctx context.Context, incoming *http.Response, sink request.Sink) error {
	response := &protocol.Response{}
	response.Header.SetContentType(incoming.Header.Get("Content-Type"))
	response.SetBodyStream(incoming.Body, -1)
	reader, err := sse.NewReader(response)
	if err != nil {
		return caller.malformed(err.Error())
	}
	at := position{}
	// The end of ctx ends the response's body, and with it the reader.
	err = reader.ForEach(context.WithoutCancel(ctx), func(event *sse.Event) error {
		var err error
		at, err = caller.take(ctx, at, event, sink)
		return err
	})
	var failure *call.Failure
	switch {
	case errors.As(err, &failure):
		return err
	case at.done:
		return nil
	case err != nil:
		return httpclient.Failure(ctx, err, step, caller.address)
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: step, Peer: caller.address, Detail: "stream ended without its end marker"}
}

// take passes on one event and returns the position after it.
func (caller *Caller) take(ctx context.Context, at position, event *sse.Event, sink request.Sink) (position, error) {
	switch {
	case event.Type == "error":
		return at, caller.stated(event.Data, "error in the stream", call.RanUnknown)
	case string(event.Data) == openai.Done:
		if !at.final {
			return at, caller.malformed("the end marker came before the final chunk")
		}
		at.done = true
		return at, nil
	}
	chunk, err := openai.DecodeChunk(event.Data)
	if err != nil {
		return at, caller.malformed(err.Error())
	}
	if chunk.Offset != at.tokens || at.final {
		return at, caller.malformed(fmt.Sprintf("chunk at offset %d after %d tokens", chunk.Offset, at.tokens))
	}
	at.tokens, at.final = chunk.End(), chunk.Final
	return at, sink.Send(ctx, chunk)
}

func (caller *Caller) malformed(detail string) error {
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: step, Peer: caller.address, Detail: detail}
}
