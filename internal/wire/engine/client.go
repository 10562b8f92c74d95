package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

// maxErrorBytes bounds the part of an error answer that is read for the failure's detail.
const maxErrorBytes = 4096

// stepComplete is the step of a completion in failures.
const stepComplete = "complete"

// messageType is the type that an event without one has by the standard.
const messageType = "message"

// Client sends completions to model engines; several threads may use it.
type Client struct {
	http *httpclient.Client
}

// New returns a client whose attempts to connect time out after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	return &Client{http: httpclient.New(dialTimeout, httpclient.Reuse)}
}

// Complete sends a completion and relays the chunks of the engine's answer to sink.
//
// It returns a [*call.Failure] when there is no answer, when the answer ends without its final chunk or has something else than a
// chunk before it, and the sink's error when the sink fails. The cause is [call.CauseMalformed] for something else than a chunk, and
// [call.CauseReset] for the end of the stream, which may mean that the engine has crashed.
func (client *Client) Complete(ctx context.Context, server backend.Server, callRequest call.Request, sink request.Sink) error {
	body, err := openai.EncodeForEngine(callRequest.Completion)
	if err != nil {
		return call.Refuse(call.ReasonMalformed, "%v", err)
	}
	response, err := client.http.Do(ctx, httpclient.Call{
		Method: http.MethodPost,
		URL:    "http://" + server.Address + path(callRequest.Completion),
		Header: http.Header{
			"Content-Type": {"application/json"},
			"Accept":       {"text/event-stream"},
		},
		Body: body,
		ID:   callRequest.ID,
	})
	if err != nil {
		return httpclient.ClassifyError(ctx, err, stepComplete, server.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return httpclient.ClassifyStatus(response.StatusCode, text, stepComplete, server.Name)
	}
	return relay(ctx, response, server.Name, callRequest.Completion, sink)
}

// relay sends the chunks of a streamed answer to sink until the stream ends. Only a final chunk shows that the answer is complete; what
// follows it is read, so that the connection can be used again, and ignored.
func relay(ctx context.Context, response *http.Response, peer string, completion call.Completion, sink request.Sink) error {
	events, err := newEventStream(response)
	if err != nil {
		return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseMalformed, Step: stepComplete, Peer: peer, Detail: err.Error()}
	}
	var sinkErr error
	finished, stream := false, openai.NewStream(completion)
	err = events.ForEach(context.WithoutCancel(ctx), func(event *sse.Event) error {
		events.endEvent()
		// A block without data is no event, such as one with the time after which to connect again.
		if finished || !event.IsSetData() {
			return nil
		}
		next, chunk, err := decodeEvent(stream, event)
		if err != nil && events.cutOff() {
			return fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)
		}
		if err != nil {
			return &httpclient.MalformedError{Detail: err.Error()}
		}
		stream, finished = next, chunk.Final
		sinkErr = sink.Send(ctx, chunk)
		return sinkErr
	})
	switch {
	case sinkErr != nil:
		return sinkErr
	case finished:
		return nil
	case errors.Is(err, bufio.ErrTooLong):
		return httpclient.ClassifyError(ctx, &httpclient.MalformedError{Detail: "a line of the stream is too long"}, stepComplete, peer)
	case err != nil:
		return httpclient.ClassifyError(ctx, err, stepComplete, peer)
	}
	return &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: stepComplete, Peer: peer, Detail: "stream ended without its end marker"}
}

// decodeEvent returns the chunk of an event before the final chunk; the error says why there is none.
func decodeEvent(stream openai.Stream, event *sse.Event) (openai.Stream, call.Chunk, error) {
	if event.Type != "" && event.Type != messageType {
		return stream, call.Chunk{}, fmt.Errorf("an event of type %q in the stream", event.Type)
	}
	if string(event.Data) == openai.Done {
		return stream, call.Chunk{}, errors.New("the end marker of the stream precedes its final chunk")
	}
	return stream.WithData(event.Data)
}

func path(completion call.Completion) string {
	if completion.Chat {
		return openai.ChatPath
	}
	return openai.CompletionsPath
}
