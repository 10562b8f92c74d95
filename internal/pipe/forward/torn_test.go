package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
)

// unframed returns a stream with neither a length nor chunks, whose end is the end of its connection.
func unframed(body string) response {
	return response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true, EndsWithConnection: true}, body: body}
}

// withoutResume makes the streams of the environment ones that may run only once.
func (environment *environment) withoutResume() *environment {
	return environment.withStreams(1, false)
}

// withAttempts makes the streams of the environment resumable ones with a number of attempts.
func (environment *environment) withAttempts(attempts int) *environment {
	return environment.withStreams(attempts, true)
}

func (environment *environment) withStreams(attempts int, resumable bool) *environment {
	streams := route.Route{
		Name: "r", Host: "a", Prefix: "/", Kind: route.KindStream, Services: []route.WeightedService{{Service: "engines", Weight: 1}},
		Attempts: attempts, Resumable: resumable, Timeout: 4 * time.Second,
	}
	environment.table = route.NewTable(1, []route.Route{streams}, []route.Service{{Name: "engines"}},
		[]route.Account{{Name: "desk", Keys: []string{"k"}, Limit: route.Limit{PerSecond: 1000, Burst: 1000}}}, route.Limits{})
	return environment
}

// Guards against a stream that its server broke off inside an event and that ends as complete at the caller: the end of a
// connection was taken for the end of the stream, and the event that had begun was dropped.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for cut := len(first) + 1; cut < len(first+second); cut++ {
		torn := unframed((first + second)[:cut])

		resumable := newEnvironment(route.KindStream, torn, unframed(second))
		assert.Equal(t, "answered", outcome(resumable.handle(nil)), "cut at byte %d", cut)
		assert.Equal(t, first+second, resumable.body.String(), "cut at byte %d", cut)
		assert.Equal(t, "1", resumable.sent[len(resumable.sent)-1].Opaque.ResumeAfter, "cut at byte %d", cut)

		everywhere := newEnvironment(route.KindStream, torn, unframed("id: 2\nda"))
		assert.Equal(t, "failed Reset", outcome(everywhere.handle(nil)), "cut at byte %d, and at the next server", cut)

		once := newEnvironment(route.KindStream, torn).withoutResume()
		assert.Equal(t, "failed Reset", outcome(once.handle(nil)), "cut at byte %d, not resumable", cut)
		assert.Equal(t, first, once.body.String(), "cut at byte %d, not resumable", cut)
		assert.Len(t, once.sent, 1)
	}
}

// Guards against a stream that arrives empty and looks complete since its lines end with CR LF.
func TestStreamWhoseLinesEndWithCRLFIsPassedOnWhole(t *testing.T) {
	const stream = "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
	environment := newEnvironment(route.KindStream, unframed(stream+"id: 3\r\ndata"), unframed("id: 3\r\ndata: c\r\n\r\n"))
	assert.Equal(t, "answered", outcome(environment.handle(nil)))
	assert.Equal(t, stream+"id: 3\r\ndata: c\r\n\r\n", environment.body.String())
	assert.Equal(t, "2", environment.sent[1].Opaque.ResumeAfter)
}

// Guards against a stream without any event that ends as complete: its server wrote the head only, and closed.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	environment := newEnvironment(route.KindStream, unframed(""), unframed(event))
	assert.Equal(t, "answered", outcome(environment.handle(nil)))
	assert.Equal(t, event, environment.body.String())

	ended := response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}}
	environment = newEnvironment(route.KindStream, ended, unframed(event))
	assert.Equal(t, "answered", outcome(environment.handle(nil)))
	assert.Equal(t, event, environment.body.String(), "the first server wrote the end of its chunks behind the head")
	assert.Equal(t, "failed Incomplete", outcome(newEnvironment(route.KindStream, ended).withoutResume().handle(nil)))

	resume := func(opaque *call.Opaque) { opaque.ResumeAfter = "9" }
	resumed := newEnvironment(route.KindStream, unframed(""), unframed(""))
	assert.Equal(t, "answered", outcome(resumed.handle(resume)), "all events were received before, as two servers agree")
	assert.Len(t, resumed.sent, 2)
	const next = "id: 10\ndata: a\n\n"
	closedFirst := newEnvironment(route.KindStream, unframed(""), unframed(next))
	assert.Equal(t, "answered", outcome(closedFirst.handle(resume)), "the first server broke off before its first event")
	assert.Equal(t, next, closedFirst.body.String())
	alone := newEnvironment(route.KindStream, unframed("")).withAttempts(1)
	assert.Equal(t, "failed Reset", outcome(alone.handle(resume)), "one server proves nothing")
}

// Guards against a caller that gets the head of a success, and then no event: a server that broke off before its first event has answered
// nothing, so the caller gets an error with a status, or the whole answer of another server with that one's head.
func TestHeadOfAStreamGoesWithItsFirstEvent(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	torn := unframed("id: 1\nda")
	torn.head.Fields = []call.HeaderField{{Name: "Server", Value: "torn"}}
	for _, body := range []string{"", "id: 1\nda", ": sound\n\n", "junk\n\n"} {
		environment := newEnvironment(route.KindStream, unframed(body)).withoutResume()
		assert.ErrorContains(t, environment.handle(nil), "deliver", "%q", body)
		assert.Zero(t, environment.head.Status, "%q", body)
	}
	resumed := newEnvironment(route.KindStream, torn, unframed(event))
	assert.Equal(t, "answered", outcome(resumed.handle(nil)))
	assert.Equal(t, event, resumed.body.String())
	assert.Empty(t, resumed.head.Fields, "the head of the server whose events these are")
	failed := newEnvironment(route.KindStream, torn, response{head: call.AnswerHead{Status: 500}, body: "no"})
	assert.Equal(t, "answered", outcome(failed.handle(nil)))
	assert.Equal(t, 500, failed.head.Status, "the failure of a server is its answer")
}

// Guards against a success that no server gave and that reaches its caller as one: a head that was cut short, or bytes that only
// look like a head, have no signature.
func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindNonIdempotent, route.KindStream} {
		unsigned := response{head: call.AnswerHead{Status: 200, Length: -1, Stream: kind == route.KindStream, Unsigned: true}}
		once := newEnvironment(kind, unsigned, unsigned)
		assert.Equal(t, "failed Malformed", outcome(once.handle(nil)), kind)
		assert.Empty(t, once.body.String(), kind)
		assert.Zero(t, once.head.Status, kind)
	}
	repeated := newEnvironment(route.KindIdempotent, response{head: call.AnswerHead{Status: 200, Unsigned: true}})
	assert.Equal(t, "answered", outcome(repeated.handle(nil)))
	assert.Equal(t, "ok", repeated.body.String())
}

// Guards against a log in which an answer that ended with its connection, and may lack its end, looks like one whose length was known.
func TestAnswerThatEndsWithItsConnectionIsLogged(t *testing.T) {
	reasons := func(environment *environment) (reasons []string) {
		require.Equal(t, "answered", outcome(environment.handle(nil)))
		for _, decision := range environment.decisions {
			if decision.Reason == forward.ReasonEndedWithConnection {
				reasons = append(reasons, decision.Detail)
			}
		}
		return reasons
	}
	const event = "id: 4\ndata: a\n\n"
	assert.Equal(t, []string{"the answer has neither a length nor chunks; its last event is 4"}, reasons(newEnvironment(route.KindStream, unframed(event))))
	plain := response{head: call.AnswerHead{Status: 200, Length: -1, EndsWithConnection: true}, body: "a"}
	assert.Equal(t, []string{"the answer has neither a length nor chunks"}, reasons(newEnvironment(route.KindIdempotent, plain)))
	framed := response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}, body: event}
	assert.Empty(t, reasons(newEnvironment(route.KindStream, framed)))
}

// Guards against a resumed stream that ends as complete although its next server sent no event: a server that closed its connection
// behind the head was taken for one that had nothing left to send, also where the event that was due had already begun to arrive.
func TestContinuationWithoutEventsIsNotComplete(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	reset := unframed(first)
	reset.cut = true
	resetInside := unframed(first + "id: 2\nda")
	resetInside.cut = true
	framed := response{head: call.AnswerHead{Status: 200, Length: -1, Stream: true}}
	cases := []struct {
		name   string
		script []response
		want   string
		body   string
	}{
		{"broke off inside an event, then twice no event", []response{unframed(first + "id: 2\nda"), unframed(""), unframed("")}, "failed Reset", first},
		{"broke off inside an event, then no event in an answer with chunks", []response{unframed(first + "id: 2\nda"), framed, framed}, "failed Incomplete", first},
		{"broke off inside an event, then no event, then the event", []response{unframed(first + "id: 2\nda"), unframed(""), unframed(second)}, "answered", first + second},
		{"reset inside an event, then twice no event", []response{resetInside, unframed(""), unframed("")}, "failed Reset", first},
		{"reset inside an event, then no event in an answer with chunks", []response{resetInside, framed, framed}, "failed Incomplete", first},
		{"reset inside an event, then the event", []response{resetInside, unframed(second)}, "answered", first + second},
		{"reset between events, then no event, then the event", []response{reset, unframed(""), unframed(second)}, "answered", first + second},
		{"reset between events, then twice no event", []response{reset, unframed(""), unframed("")}, "answered", first},
		{"reset between events, then no event in an answer with chunks", []response{reset, framed}, "answered", first},
	}
	for _, c := range cases {
		environment := newEnvironment(route.KindStream, c.script...).withAttempts(3)
		assert.Equal(t, c.want, outcome(environment.handle(nil)), c.name)
		assert.Equal(t, c.body, environment.body.String(), c.name)
		assert.LessOrEqual(t, len(environment.sent), 3, c.name)
	}
}

// Guards against a stream that ends as complete inside a block whose first lines are no part of an event, such as a comment.
func TestStreamThatEndsInsideABlockIsNotComplete(t *testing.T) {
	const event, block = "id: 1\ndata: a\n\n", ": sound\nretry: 100\n"
	for cut := 1; cut <= len(block); cut++ {
		torn := newEnvironment(route.KindStream, unframed(event+block[:cut])).withoutResume()
		assert.Equal(t, "failed Reset", outcome(torn.handle(nil)), "cut at byte %d", cut)
		assert.Equal(t, event, torn.body.String(), "cut at byte %d", cut)
	}
	whole := newEnvironment(route.KindStream, unframed(event+block+"\n")).withoutResume()
	assert.Equal(t, "answered", outcome(whole.handle(nil)))
	assert.Equal(t, event, whole.body.String())
}

// Guards against an answer on a streaming route that breaks off and gets the length that arrived, so that it looks complete: without the
// content type of streams it was buffered like a plain answer.
func TestStreamOfAnotherContentTypeIsNotCompleteWhenItBreaksOff(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	untyped := func(body string) response {
		answer := unframed(body)
		answer.head.Stream = false
		return answer
	}
	for cut := 1; cut < len(second); cut++ {
		once := newEnvironment(route.KindStream, untyped(first+second[:cut])).withoutResume()
		assert.Equal(t, "failed Reset", outcome(once.handle(nil)), "cut at byte %d", cut)
		assert.Equal(t, first, once.body.String(), "cut at byte %d", cut)
		assert.Negative(t, once.head.Length, "cut at byte %d", cut)
	}
	whole := newEnvironment(route.KindStream, untyped(first+second)).withoutResume()
	assert.Equal(t, "answered", outcome(whole.handle(nil)))
	assert.Equal(t, first+second, whole.body.String())
	text := newEnvironment(route.KindStream, untyped(`{"Text":"a`)).withoutResume()
	assert.Equal(t, "failed Malformed", outcome(text.handle(nil)), "no event")
}
