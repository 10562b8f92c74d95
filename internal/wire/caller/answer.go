package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/openai"
)

// stream relays the chunks of an answer as server-sent events.
//
// The status is sent with the first chunk, so that a refusal before the first chunk
// gets its own status. A later error is sent as an event of type "error", or of type
// "handover" when the entry leaves, and no [DONE] follows. The id of a chunk's event
// is the number of answer tokens up to the end of the chunk.
func (server *Server) stream(ctx context.Context, c *app.RequestContext, callRequest call.Request, head openai.Head) {
	events := &events{c: c}
	defer events.end()
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		data, err := openai.EncodeChunk(head, chunk)
		if err != nil {
			return err
		}
		return events.write(strconv.Itoa(chunk.End()), "", data)
	})
	_, err := server.handler.Handle(ctx, request.Exchange{Request: callRequest, Sink: sink})
	switch {
	case err == nil && events.begun():
		_ = events.write("", "", []byte(openai.Done))
	case err != nil && events.begun():
		event, body := errorEvent(err)
		_ = events.write("", event, body)
	case err != nil:
		writeError(c, err)
	}
}

// collect answers with all chunks of an answer in one body.
func (server *Server) collect(ctx context.Context, c *app.RequestContext, callRequest call.Request, head openai.Head) {
	var text strings.Builder
	tokens, finishReason := 0, ""
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		text.WriteString(chunk.Text)
		tokens += chunk.Tokens
		finishReason = chunk.FinishReason
		return nil
	})
	if _, err := server.handler.Handle(ctx, request.Exchange{Request: callRequest, Sink: sink}); err != nil {
		writeError(c, err)
		return
	}
	body, err := openai.EncodeAnswer(head, text.String(), tokens, finishReason)
	if err != nil {
		writeError(c, err)
		return
	}
	c.Data(http.StatusOK, "application/json", body)
}
