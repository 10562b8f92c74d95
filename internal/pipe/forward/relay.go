package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

const (
	// maxBufferedBytes is the size up to which an answer is read whole before it is passed on, in bytes.
	maxBufferedBytes = 256 << 10
	// maxPieceBytes is the largest piece of a stream that is passed on at once, in bytes.
	maxPieceBytes = 4 << 10
)

// relay passes answers to the reply of one call.
type relay struct {
	reply request.Reply
	// resumable streams go on at another server after the last whole event.
	resumable bool
	headSent  bool
	// lastEventID is the id of the last event that was passed on.
	lastEventID string
	// buffered is the failure status that a server gave, in case no other server does better.
	buffered *bufferedAnswer
	// callerErr is the error of a caller that left.
	callerErr error
}

// bufferedAnswer is a whole answer.
type bufferedAnswer struct {
	head call.Head
	body []byte
}

// pass relays an answer. A failure status is kept for now, unless the try is the last.
func (relay *relay) pass(answer Answer, last bool) *call.Failure {
	head := answer.Head()
	if head.Stream && head.Status < http.StatusMultipleChoices {
		return relay.passStream(answer)
	}
	if relay.headSent {
		return deliveryFailure(call.CauseMalformed, "the stream did not go on")
	}
	if head.Length > maxBufferedBytes {
		return relay.passUnbuffered(answer, nil)
	}
	body, err := io.ReadAll(io.LimitReader(answerReader{answer}, maxBufferedBytes+1))
	if err != nil {
		return deliveryFailure(call.CauseReset, err.Error())
	}
	if len(body) > maxBufferedBytes {
		return relay.passUnbuffered(answer, body)
	}
	head.Length = int64(len(body))
	relay.buffered = &bufferedAnswer{head, body}
	if head.Status >= http.StatusInternalServerError && !last {
		return deliveryFailure(call.CauseStatus, http.StatusText(head.Status))
	}
	relay.callerErr = relay.flush()
	return nil
}

// flush passes the whole answer on that was kept.
func (relay *relay) flush() error {
	kept := relay.buffered
	relay.buffered, relay.headSent = nil, true
	if err := relay.reply.Begin(kept.head); err != nil {
		return err
	}
	if len(kept.body) == 0 {
		return nil
	}
	return relay.reply.Write(kept.body)
}

// passUnbuffered passes a large answer on as it comes, after the part that was read already.
func (relay *relay) passUnbuffered(answer Answer, first []byte) *call.Failure {
	relay.headSent = true
	if relay.callerLeft(relay.reply.Begin(answer.Head())) || len(first) > 0 && relay.callerLeft(relay.reply.Write(first)) {
		return nil
	}
	return relay.copyBody(answer, relay.reply.Write)
}

func (relay *relay) passStream(answer Answer) *call.Failure {
	write := relay.reply.Write
	if relay.resumable {
		write = (&eventWriter{relay: relay}).write
	}
	if !relay.headSent {
		relay.headSent = true
		if relay.callerLeft(relay.reply.Begin(answer.Head())) {
			return nil
		}
	}
	return relay.copyBody(answer, write)
}

// callerLeft notes that the caller left, if there was an error in writing to it.
func (relay *relay) callerLeft(err error) bool {
	relay.callerErr = err
	return err != nil
}

func (relay *relay) copyBody(answer Answer, write func([]byte) error) *call.Failure {
	piece := make([]byte, maxPieceBytes)
	for {
		count, err := answer.Read(piece)
		if count > 0 && relay.callerLeft(write(piece[:count])) {
			return nil
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return deliveryFailure(call.CauseReset, err.Error())
		}
	}
}

// eventWriter passes whole events on and notes their ids.
type eventWriter struct {
	relay   *relay
	partial []byte
}

// write passes on the whole events so far, and holds the rest.
func (eventWriter *eventWriter) write(piece []byte) error {
	eventWriter.partial = append(eventWriter.partial, piece...)
	end := bytes.LastIndex(eventWriter.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	ready := eventWriter.partial[:end+2]
	if err := eventWriter.relay.reply.Write(ready); err != nil {
		return err
	}
	if id, ok := lastEventID(ready); ok {
		eventWriter.relay.lastEventID = id
	}
	eventWriter.partial = append([]byte(nil), eventWriter.partial[end+2:]...)
	return nil
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	found, ok := "", false
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, cut := bytes.CutPrefix(line, []byte("id:")); cut {
			found, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return found, ok
}

// answerReader is the body of an answer.
type answerReader struct{ answer Answer }

// Read reads from the body.
func (answerReader answerReader) Read(piece []byte) (int, error) {
	return answerReader.answer.Read(piece)
}

func deliveryFailure(cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: call.RanUnknown, Cause: cause, Step: StepDeliver, Detail: detail}
}
