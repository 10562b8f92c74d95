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
	// wholeLimit is the size up to which an answer is read whole before it is passed on, in bytes.
	wholeLimit = 256 << 10
	// pieceSize is the largest piece of a stream that is passed on at once, in bytes.
	pieceSize = 4 << 10
)

// relay passes answers to the reply of one call.
type relay struct {
	reply request.Reply
	// resumable streams go on at another server after the last whole event.
	resumable bool
	begun     bool
	// after is the id of the last event that was passed on.
	after string
	// kept is the failure status that a server gave, in case no other server does better.
	kept *whole
	// gone is the error of a caller that left.
	gone error
}

// whole is a whole answer.
type whole struct {
	head call.AnswerHead
	body []byte
}

// pass relays an answer. A failure status is kept for now, unless the try is the last.
func (relay *relay) pass(answer Answer, last bool) *call.Failure {
	head := answer.Head()
	if head.Stream && head.Status < http.StatusMultipleChoices {
		return relay.stream(answer)
	}
	if relay.begun {
		return lost(call.CauseMalformed, "the stream did not go on")
	}
	if head.Length > wholeLimit {
		return relay.rest(answer, nil)
	}
	body, err := io.ReadAll(io.LimitReader(reader{answer}, wholeLimit+1))
	if err != nil {
		return lost(call.CauseReset, err.Error())
	}
	if len(body) > wholeLimit {
		return relay.rest(answer, body)
	}
	head.Length = int64(len(body))
	relay.kept = &whole{head, body}
	if head.Status >= http.StatusInternalServerError && !last {
		return lost(call.CauseStatus, http.StatusText(head.Status))
	}
	relay.gone = relay.flush()
	return nil
}

// flush passes the whole answer on that was kept.
func (relay *relay) flush() error {
	kept := relay.kept
	relay.kept, relay.begun = nil, true
	if err := relay.reply.Begin(kept.head); err != nil {
		return err
	}
	if len(kept.body) == 0 {
		return nil
	}
	return relay.reply.Write(kept.body)
}

// rest passes a large answer on as it comes, after the part that was read already.
func (relay *relay) rest(answer Answer, first []byte) *call.Failure {
	relay.begun = true
	if relay.left(relay.reply.Begin(answer.Head())) || len(first) > 0 && relay.left(relay.reply.Write(first)) {
		return nil
	}
	return relay.copy(answer, relay.reply.Write)
}

func (relay *relay) stream(answer Answer) *call.Failure {
	write := relay.reply.Write
	if relay.resumable {
		write = (&events{relay: relay}).write
	}
	if !relay.begun {
		relay.begun = true
		if relay.left(relay.reply.Begin(answer.Head())) {
			return nil
		}
	}
	return relay.copy(answer, write)
}

// left notes that the caller left, if there was an error in writing to it.
func (relay *relay) left(err error) bool {
	relay.gone = err
	return err != nil
}

func (relay *relay) copy(answer Answer, write func([]byte) error) *call.Failure {
	piece := make([]byte, pieceSize)
	for {
		count, err := answer.Read(piece)
		if count > 0 && relay.left(write(piece[:count])) {
			return nil
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return lost(call.CauseReset, err.Error())
		}
	}
}

// events passes whole events on and notes their ids.
type events struct {
	relay *relay
	held  []byte
}

// write passes on the whole events so far, and holds the rest.
func (events *events) write(piece []byte) error {
	events.held = append(events.held, piece...)
	end := bytes.LastIndex(events.held, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	ready := events.held[:end+2]
	if err := events.relay.reply.Write(ready); err != nil {
		return err
	}
	if id, ok := lastID(ready); ok {
		events.relay.after = id
	}
	events.held = append([]byte(nil), events.held[end+2:]...)
	return nil
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	found, ok := "", false
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, cut := bytes.CutPrefix(line, []byte("id:")); cut {
			found, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return found, ok
}

// reader is the body of an answer.
type reader struct{ answer Answer }

// Read reads from the body.
func (reader reader) Read(piece []byte) (int, error) { return reader.answer.Read(piece) }

func lost(cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: call.RanUnknown, Cause: cause, Step: StepDeliver, Detail: detail}
}
