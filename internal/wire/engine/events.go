package engine

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

// maxEventBytes bounds the bytes of a stream from one event to the next. The reader of events bounds each of their lines,
// but neither the number of lines nor what is between events.
const maxEventBytes = 1 << 20

// maxBlankLineBytes is the length of the longest end of a line and blank line.
const maxBlankLineBytes = len("\r\n\r\n")

// eventStream reads the server-sent events of an answer.
type eventStream struct {
	*sse.Reader
	body *eventBody
}

// eventBody is the body of an answer. Reading fails when an event exceeds maxEventBytes.
type eventBody struct {
	io.Reader
	// read is the number of bytes since the last event.
	read int
	// tail holds the last bytes, enough for a blank line in any form.
	tail []byte
	// ended is whether the end of the body was read.
	ended bool
}

// newEventStream returns hertz's reader of server-sent events for a response of net/http.
//
// The reader does not need the context: when the context ends, net/http ends the
// response's body, and with it the reader.
func newEventStream(response *http.Response) (*eventStream, error) {
	body := &eventBody{Reader: response.Body}
	hertzResponse := &protocol.Response{}
	hertzResponse.Header.SetContentType(response.Header.Get("Content-Type"))
	hertzResponse.SetBodyStream(body, -1)
	reader, err := sse.NewReader(hertzResponse)
	if err != nil {
		return nil, err
	}
	return &eventStream{Reader: reader, body: body}, nil
}

// endEvent starts the count of bytes of the next event.
func (eventStream *eventStream) endEvent() { eventStream.body.read = 0 }

// cutOff reports whether the stream ended inside the event that was read last, which the reader returns like a whole one. To find
// out, it may read and drop the next event, so nothing may be read after it.
func (eventStream *eventStream) cutOff() bool {
	if !eventStream.body.endsInBlock() {
		return false
	}
	next := sse.NewEvent()
	defer next.Release()
	return errors.Is(eventStream.Read(next), io.EOF)
}

// Read implements [io.Reader].
func (eventBody *eventBody) Read(piece []byte) (int, error) {
	if eventBody.read > maxEventBytes {
		return 0, &httpclient.MalformedError{Detail: fmt.Sprintf("an event of the stream exceeds %d bytes", maxEventBytes)}
	}
	count, err := eventBody.Reader.Read(piece)
	eventBody.read += count
	tail := append(eventBody.tail, piece[max(0, count-maxBlankLineBytes):count]...)
	eventBody.tail = tail[max(0, len(tail)-maxBlankLineBytes):]
	eventBody.ended = errors.Is(err, io.EOF)
	return count, err
}

// endsInBlock reports whether the body has ended without the blank line behind its last block.
func (eventBody *eventBody) endsInBlock() bool {
	lines := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(eventBody.tail))
	return eventBody.ended && !strings.HasSuffix(lines, "\n\n")
}
