package engine

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/rosemaryspar/rosemaryspar/internal/wire/httpclient"
)

// maxEventBytes bounds the bytes of a stream from one event to the next. The reader of events bounds each of their lines,
// but neither the number of lines nor what is between events.
const maxEventBytes = 1 << 20

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

// Read implements [io.Reader].
func (eventBody *eventBody) Read(piece []byte) (int, error) {
	if eventBody.read > maxEventBytes {
		return 0, &httpclient.MalformedError{Detail: fmt.Sprintf("an event of the stream exceeds %d bytes", maxEventBytes)}
	}
	count, err := eventBody.Reader.Read(piece)
	eventBody.read += count
	return count, err
}
