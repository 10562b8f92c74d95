package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered until it is complete,
	// so that the call can still be retried.
	maxBufferedBytes = 256 << 10
	// unknownLength is the length of an answer whose head states none.
	unknownLength = -1
	// maxPieceBytes is the largest piece of an answer that is written to the caller at once.
	maxPieceBytes = 4 << 10
)

// relay passes the answers of the attempts of one call to the caller.
type relay struct {
	reply    request.Reply
	headSent bool
	// answered is called for each piece of a successful stream that completes events, with their number.
	answered func(events int)
	// checksEvents reports whether the route promises a stream of events that have the form of grammar, and ids that rise.
	checksEvents bool
	grammar      eventstream.Grammar
	// eventIDs are those of the events that were passed on.
	eventIDs stream.EventIDs
	// buffered is a complete answer that has not been passed on, nil for none. One with a
	// failure status is kept here and passed on if no other server answers successfully. It is dropped when the head of
	// another answer is sent, since that one could then look complete.
	buffered *bufferedAnswer
	// endsWithConnection reports whether the latest answer had neither a length nor chunks.
	endsWithConnection bool
	// callerErr is the error of writing to a caller that has disconnected.
	callerErr error
}

// bufferedAnswer is the head and the complete body of an answer.
type bufferedAnswer struct {
	head call.AnswerHead
	body []byte
}

// relayAnswer relays an answer. An answer with a server error status is buffered and reported as
// a failure, unless isLastAttempt is set.
func (relay *relay) relayAnswer(answer Answer, isLastAttempt bool) *call.Failure {
	head := answer.Head()
	relay.endsWithConnection = head.EndsWithConnection
	if isSuccess := head.Status < http.StatusMultipleChoices; isSuccess && (head.Stream || relay.checksEvents) {
		return relay.relayStream(answer, head)
	}
	if relay.headSent {
		return deliveryFailure(call.CauseStatus, fmt.Sprintf("the server answered status %d where a stream goes on", head.Status))
	}
	if head.Length > maxBufferedBytes {
		return relay.relayUnbuffered(answer, nil)
	}
	body, err := io.ReadAll(io.LimitReader(answerReader{answer}, maxBufferedBytes+1))
	if err != nil {
		return readFailure(err)
	}
	if len(body) > maxBufferedBytes {
		return relay.relayUnbuffered(answer, body)
	}
	head.Length = int64(len(body))
	relay.buffered = &bufferedAnswer{head, body}
	if head.Status >= http.StatusInternalServerError && !isLastAttempt {
		return deliveryFailure(call.CauseStatus, http.StatusText(head.Status))
	}
	relay.callerErr = relay.flush()
	return nil
}

// flush passes the buffered answer on.
func (relay *relay) flush() error {
	answer := relay.buffered
	if err := relay.begin(answer.head); err != nil {
		return err
	}
	if len(answer.body) == 0 {
		return nil
	}
	return relay.reply.Write(answer.body)
}

// relayUnbuffered passes a large answer on while it arrives, starting with prefix, the
// part that was already read.
func (relay *relay) relayUnbuffered(answer Answer, prefix []byte) *call.Failure {
	if relay.callerLeft(relay.begin(answer.Head())) || len(prefix) > 0 && relay.callerLeft(relay.reply.Write(prefix)) {
		return nil
	}
	return relay.copyBody(answer, relay.reply.Write)
}

// relayStream passes a stream on while it arrives. Its head goes with the first event, unless an earlier attempt has sent one: a server
// that breaks off before has answered nothing.
//
// On a streaming route, a success is a stream whatever its content type says. Its length is that of one server's part, which may have
// bytes that are not passed on.
func (relay *relay) relayStream(answer Answer, head call.AnswerHead) *call.Failure {
	if relay.checksEvents {
		head.Stream, head.Length = true, unknownLength
	}
	events := &eventWriter{relay: relay, head: head}
	failure := relay.copyBody(answer, events.write)
	if failure == nil && relay.callerErr == nil {
		return events.end()
	}
	if failure != nil && failure.Cause == call.CauseReset {
		events.breakOff()
	}
	return failure
}

// begin sends the head of an answer unless one has been sent.
func (relay *relay) begin(head call.AnswerHead) error {
	if relay.headSent {
		return nil
	}
	relay.headSent, relay.buffered = true, nil
	return relay.reply.Begin(head)
}

// canContinue reports whether another attempt may go on with the answer: nothing of it was passed on, or its events tell where to.
func (relay *relay) canContinue() bool { return !relay.headSent || relay.checksEvents }

// callerLeft stores the error of writing to the caller, and reports whether there was one,
// which means that the caller has disconnected.
func (relay *relay) callerLeft(err error) bool {
	relay.callerErr = err
	return err != nil
}

// copyBody passes the body of an answer to write until it ends or the caller disconnects.
func (relay *relay) copyBody(answer Answer, write func([]byte) error) *call.Failure {
	piece := make([]byte, maxPieceBytes)
	for {
		count, err := answer.Read(piece)
		if count > 0 {
			switch writeErr := write(piece[:count]); {
			case errors.Is(writeErr, errNoEvent):
				return deliveryFailure(call.CauseMalformed, writeErr.Error())
			case errors.Is(writeErr, errNotContinued):
				return deliveryFailure(call.CauseIncomplete, writeErr.Error())
			case relay.callerLeft(writeErr):
				return nil
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return readFailure(err)
		}
	}
}

// answerReader adapts the body of an answer to [io.Reader].
type answerReader struct{ answer Answer }

// Read implements [io.Reader].
func (answerReader answerReader) Read(piece []byte) (int, error) {
	return answerReader.answer.Read(piece)
}

// readFailure returns the failure of an answer whose body could not be read to its end. Bytes that are no part of it do not mean that the
// server has crashed.
func readFailure(err error) *call.Failure {
	if errors.Is(err, call.ErrMalformed) {
		return deliveryFailure(call.CauseMalformed, err.Error())
	}
	return deliveryFailure(call.CauseReset, err.Error())
}

// deliveryFailure returns a failure of a call that may have run.
func deliveryFailure(cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: call.RanUnknown, Cause: cause, Step: StepDeliver, Detail: detail}
}
