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

// streamProgress is the state of a stream after the events read so far.
type streamProgress struct {
	// received is the number of tokens received.
	received int
	// final reports whether the final chunk was received, done whether the end marker was received after it.
	final, done bool
}

// relayStream relays the chunks of a stream to sink. It returns an error if the stream is incomplete or out of order.
func (caller *Caller) relayStream(ctx context.Context, httpResponse *http.Response, sink request.Sink) error {
	response := &protocol.Response{}
	response.Header.SetContentType(httpResponse.Header.Get("Content-Type"))
	response.SetBodyStream(httpResponse.Body, -1)
	reader, err := sse.NewReader(response)
	if err != nil {
		return caller.malformed(err.Error())
	}
	progress := streamProgress{}
	// When ctx ends, the body of the HTTP response is closed, which ends the reader with an error.
	err = reader.ForEach(context.WithoutCancel(ctx), func(event *sse.Event) error {
		var err error
		progress, err = caller.handleEvent(ctx, progress, event, sink)
		return err
	})
	var failure *call.Failure
	switch {
	case errors.As(err, &failure):
		return err
	case progress.done:
		return nil
	case err != nil:
		return httpclient.ClassifyError(ctx, err, step, caller.address)
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: step, Peer: caller.address, Detail: "stream ended without its end marker"}
}

// handleEvent relays the chunk in an event to sink and returns the progress after it.
func (caller *Caller) handleEvent(ctx context.Context, progress streamProgress, event *sse.Event, sink request.Sink) (streamProgress, error) {
	switch {
	case event.Type == "error":
		return progress, caller.decodeError(event.Data, "error in the stream", call.RanUnknown)
	case string(event.Data) == openai.Done:
		if !progress.final {
			return progress, caller.malformed("end marker received before the final chunk")
		}
		progress.done = true
		return progress, nil
	}
	chunk, err := openai.DecodeChunk(event.Data)
	if err != nil {
		return progress, caller.malformed(err.Error())
	}
	if chunk.Offset != progress.received || progress.final {
		return progress, caller.malformed(fmt.Sprintf("chunk at offset %d received after %d tokens", chunk.Offset, progress.received))
	}
	progress.received, progress.final = chunk.End(), chunk.Final
	return progress, sink.Send(ctx, chunk)
}

func (caller *Caller) malformed(detail string) error {
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: step, Peer: caller.address, Detail: detail}
}
