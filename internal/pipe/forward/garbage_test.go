package forward_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Guards against a stream that ends as complete inside a comment: where garbage in front of it has shifted the events beyond the length of
// the answer, its last events are missing.
func TestFramedStreamThatEndsInsideAnyBlockIsNotComplete(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, rest := range []string{":", ": junk", "retry: 1", ": junk\n", "r"} {
		framed := response{head: call.AnswerHead{Status: 200, Length: int64(len(first + rest)), Stream: true}, body: first + rest}
		environment := newEnvironment(route.KindStream, framed, unframed(second))
		assert.Equal(t, "answered", outcome(environment.handle(nil)), "%q", rest)
		assert.Equal(t, first+second, environment.body.String(), "%q", rest)
		assert.Equal(t, "failed Incomplete", outcome(newEnvironment(route.KindStream, framed).withoutResume().handle(nil)), "%q", rest)
	}
}

// Guards against sound calls that are refused as ones that crash servers, after servers have ended their streams in order and too early.
func TestOrderlyEndIsNoCrash(t *testing.T) {
	for _, body := range []string{"", ": sound", "id: 1\ndata: a\n\n: sound", "id: 1\ndata: a\n\nid: 2\nda"} {
		environment := newEnvironment(route.KindStream).withoutResume()
		early := response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}, body: body}
		for range 8 {
			environment.script, environment.sent = []response{early}, nil
			assert.Equal(t, "failed Incomplete", outcome(environment.handle(nil)), "%q", body)
		}
		environment.script = nil
		assert.Equal(t, "answered", outcome(environment.handle(nil)), "%q", body)
	}
}

// Guards against garbage below the framing that counts as a crash of its server.
func TestMalformedBodyIsNoReset(t *testing.T) {
	for _, kind := range []route.Kind{route.KindNonIdempotent, route.KindStream} {
		broken := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(fmt.Errorf("%w: body", call.ErrMalformed)))
		environment := newEnvironment(kind, response{head: unframed("").head, reader: broken})
		if kind == route.KindStream {
			environment.withoutResume()
		}
		assert.Equal(t, "failed Malformed", outcome(environment.handle(nil)), kind)
	}
}

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
		"a comment that is no text":       ": \x8f\n\n",
		"a retry that is no number":       "retry: \x8f\n\n",
		"a word beside the id":            "junk\n" + third,
		"the size of a chunk":             "1f\r\n" + third,
		"an unknown field beside the id":  "junk: x\n" + third,
		"two ids":                         "id: 2\n" + third,
		"an id without data":              "id: 3\n\n",
		"data that is no text":            "id: 3\ndata: \x8f\n\n",
		"control characters in data":      "id: 3\ndata: c\x00\n\n",
		"lines that end in two ways":      "id: 3\rdata: c\n\n",
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

// Guards against bytes that the entry takes for no event and passes on as they are, so that a caller's reader may take them for one:
// what has no effect on readers is dropped, wherever it stands.
func TestOnlyEventsArePassedOn(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, silent := range map[string]string{
		"blank lines": "\n\r\n", "a comment": ": sound\n\n", "the field retry": "retry: 100\n\n", "lines in front of an event": ": sound\nretry: 100\n",
	} {
		environment := newEnvironment(route.KindStream, unframed(first+silent+second))
		assert.Equal(t, "answered", outcome(environment.handle(nil)), name)
		assert.Equal(t, first+second, environment.body.String(), name)
	}
}

// Guards against a whole answer that is lost since junk follows its last event: the junk counted as an event that had begun, after which
// no server could end the answer.
func TestJunkBehindTheLastEventLosesNoAnswer(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	end := response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}}
	for _, junk := range []string{"junk", "x: y\n", "\x8f", "id: x", "id: 2\nda", "data: a\x00", "HTTP/1.1 200 OK\r\n"} {
		environment := newEnvironment(route.KindStream, unframed(first+second+junk), end)
		assert.Equal(t, "answered", outcome(environment.handle(nil)), "%q", junk)
		assert.Equal(t, first+second, environment.body.String(), "%q", junk)
		assert.Equal(t, "2", environment.sent[1].Opaque.ResumeAfter, "%q", junk)

		once := newEnvironment(route.KindStream, unframed(first+second+junk)).withoutResume()
		assert.Equal(t, "failed Malformed", outcome(once.handle(nil)), "%q", junk)
	}
}

// Guards against garbage that reaches callers of streams since it has another content type than streams, or a length: it was buffered
// and passed on whole.
func TestAnswerThatIsNoStreamIsNotPassedOn(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, head := range []call.AnswerHead{{Status: 200, Length: -1}, {Status: 200, Length: 100}, {Status: 201, Length: 100, Stream: true}} {
		for _, garbage := range []string{`{"Text":"a"}`, "data: x\n\n", "\x8f\n\n", "junk"} {
			environment := newEnvironment(route.KindStream, response{head: head, body: first + garbage}, unframed(second))
			assert.Equal(t, "answered", outcome(environment.handle(nil)), "%v %q", head, garbage)
			assert.Equal(t, first+second, environment.body.String(), "%v %q", head, garbage)
			assert.Negative(t, environment.head.Length, "the length of one server's part")

			once := newEnvironment(route.KindStream, response{head: head, body: first + garbage}).withoutResume()
			assert.Equal(t, "failed Malformed", outcome(once.handle(nil)), "%v %q", head, garbage)
			assert.Equal(t, first, once.body.String(), "%v %q", head, garbage)
		}
	}
}

// Guards against a log that does not tell which bytes of a server were no event, and after which event they came.
func TestFailureSaysWhichBytesWereNoEvent(t *testing.T) {
	environment := newEnvironment(route.KindStream, unframed("id: 1\ndata: a\n\nid: 2\n\x8f junk\n\n")).withoutResume()
	failure := &call.Failure{}
	require.ErrorAs(t, environment.handle(nil), &failure)
	assert.Contains(t, failure.Detail, `after event "1"`)
	assert.Contains(t, failure.Detail, `"\x8f junk"`)
}

// Guards against a server that does not resume a stream but sends it again from its beginning, so that events come twice.
func TestStreamThatBeginsAgainIsNotPassedOn(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	environment := newEnvironment(route.KindStream, unframed(first+"id: 2\nda"), unframed(first+second))
	assert.Equal(t, "failed Incomplete", outcome(environment.handle(nil)))
	assert.Equal(t, first, environment.body.String())

	resumed := newEnvironment(route.KindStream, unframed(first+second), unframed(second))
	assert.Equal(t, "answered", outcome(resumed.handle(func(opaque *call.Opaque) { opaque.ResumeAfter = "1" })))
	assert.Equal(t, second, resumed.body.String(), "the caller has the first event")
}

// Guards against a caller that takes sound servers out of use for minutes: it resumes its stream after an event that there is not, and
// each server that sends its own events counted as one that garbles.
func TestCallerThatResumesAfterAWrongEventBlamesNoServer(t *testing.T) {
	environment := newEnvironment(route.KindStream)
	resume := func(opaque *call.Opaque) { opaque.ResumeAfter = "99" }
	assert.Equal(t, "failed Incomplete", outcome(environment.handle(resume)))
	assert.Equal(t, []string{environment.sentTo[0] + " Incomplete", environment.sentTo[1] + " Incomplete"}, environment.failures)
	assert.Empty(t, environment.body.String())
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
	for name, piece := range map[string]string{"a line": "x", "lines": "data: x\n", "comments": ":x\n", "blocks of comments": ":x\n\n", "blank lines": "\n"} {
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
