package forward_test

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Guards against bytes that are no event of the stream and that reach its caller as one, or that take the sound events before
// them along: the events before are passed on once, and another server resumes after them.
func TestGarbageInAStreamIsNotPassedOn(t *testing.T) {
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	garbage := map[string]string{
		"an event without an id":          "data: x\n\n",
		"bytes that are no text":          "\x00\x8f\xfe\n\n",
		"an id that is no number":         "id: x\ndata: x\n\n",
		"an event that comes again":       first,
		"an event with the same id":       "id: 2\ndata: x\n\n",
		"another answer":                  "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"bytes in front of an event":      "\x8f\nid: 3\ndata: c\n\n",
		"bytes in the line before an id":  "xx:\xfeid: 3\ndata: c\n\n",
		"an answer in front of an event":  "HTTP/1.1 200 OK\r\n" + third,
		"an event without an id, cut off": "data: x\n\nid: 3\nda",
	}
	for name, bytes := range garbage {
		spoiled := unframed(first + second + bytes + third)

		resumable := newEnvironment(route.KindStream, spoiled, unframed(third))
		assert.Equal(t, "answered", outcome(resumable.handle(nil)), name)
		assert.Equal(t, first+second+third, resumable.body.String(), name)
		assert.Equal(t, "2", resumable.sent[len(resumable.sent)-1].Opaque.ResumeAfter, name)

		once := newEnvironment(route.KindStream, spoiled).withoutResume()
		assert.Equal(t, "failed Malformed", outcome(once.handle(nil)), name)
		assert.Equal(t, first+second, once.body.String(), name)
	}
}

// Guards against a server that does not resume a stream but sends it again from its beginning, so that events come twice.
func TestStreamThatBeginsAgainIsNotPassedOn(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	environment := newEnvironment(route.KindStream, unframed(first+"id: 2\nda"), unframed(first+second))
	assert.Equal(t, "failed Malformed", outcome(environment.handle(nil)))
	assert.Equal(t, first, environment.body.String())

	resumed := newEnvironment(route.KindStream, unframed(first+second), unframed(second))
	assert.Equal(t, "answered", outcome(resumed.handle(func(opaque *call.Opaque) { opaque.ResumeAfter = "1" })))
	assert.Equal(t, second, resumed.body.String(), "the caller has the first event")
}

// Guards against event streams of plain services that are taken for garbage: only the events of streaming routes have ids that rise.
func TestEventsWithoutIDsOfAPlainServiceArePassedOn(t *testing.T) {
	const stream = "event: tick\ndata: a\n\nid: x\ndata: b\n\n"
	environment := newEnvironment(route.KindIdempotent, unframed(stream))
	assert.Equal(t, "answered", outcome(environment.handle(nil)))
	assert.Equal(t, stream, environment.body.String())
}

// Guards against a stream that is kept in memory since its event, or what comes between two events, never ends.
func TestEventWithoutEndIsGivenUp(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, piece := range map[string]string{"a line": "x", "lines": "data: x\n", "comments": ":x\n"} {
		endless := &countedReader{Reader: strings.NewReader(first + strings.Repeat(piece, 4<<20/len(piece)))}
		environment := newEnvironment(route.KindStream, response{head: unframed("").head, reader: endless}, unframed(second))
		assert.Equal(t, "answered", outcome(environment.handle(nil)), name)
		assert.Equal(t, first+second, environment.body.String(), name)
		assert.Less(t, endless.count, 256<<10, "bytes that were read of %s without end", name)
	}
}

// countedReader counts the bytes that are read.
type countedReader struct {
	io.Reader
	count int
}

// Read implements [io.Reader].
func (countedReader *countedReader) Read(piece []byte) (int, error) {
	count, err := countedReader.Reader.Read(piece)
	countedReader.count += count
	return count, err
}
