package kv

import (
	"errors"
	"io"
)

// maxMessageBytes is the size up to which a message of the service is read. It exceeds a page of items, and each of the
// messages into which the service splits a watch.
const maxMessageBytes = 16 << 20

// errMessageTooLong is the error of reading a message beyond maxMessageBytes. A faulty service may send one without end,
// all of which the JSON decoder would keep in memory.
var errMessageTooLong = errors.New("the message of the service exceeds 16 MB")

// boundedReader reads the messages of a response body, each up to maxMessageBytes.
type boundedReader struct {
	body io.Reader
	left int
}

func newBoundedReader(body io.Reader) *boundedReader { return &boundedReader{body, maxMessageBytes} }

// nextMessage allows for one more message.
func (bounded *boundedReader) nextMessage() { bounded.left = maxMessageBytes }

// Read implements [io.Reader].
func (bounded *boundedReader) Read(piece []byte) (int, error) {
	if bounded.left <= 0 {
		return 0, errMessageTooLong
	}
	count, err := bounded.body.Read(piece[:min(len(piece), bounded.left)])
	bounded.left -= count
	return count, err
}
