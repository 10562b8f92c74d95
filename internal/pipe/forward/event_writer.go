package forward

import (
	"errors"
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

const (
	// maxEventBytes bounds an event, which an entry keeps until it is whole. The events of engines have some hundred bytes.
	maxEventBytes = 64 << 10
	// maxIgnoredBytes bounds what a server may send between two events that is not passed on. Without it, a server that sends
	// comments without end would keep an entry busy until the deadline of the call.
	maxIgnoredBytes = 64 << 10
)

var (
	// errNoEvent means that a server sent bytes in place of the next event of its stream.
	errNoEvent = errors.New("the stream has bytes that are no event")
	// errNotContinued means that the first event of a server cannot follow the last one of the answer. The id of that one comes from another
	// server or from the caller, so which of them is wrong is not known.
	errNotContinued = errors.New("the server did not continue the answer")
)

// eventWriter passes only whole events on and records the id of the last one, so that another server can resume the stream
// after it.
type eventWriter struct {
	relay *relay
	// head is sent before the first event.
	head     call.AnswerHead
	splitter eventstream.Splitter
	// hasEvent reports whether this server has sent an event, on a streaming route.
	hasEvent bool
	// ignoredBytes is the number of bytes since the last event that were not passed on.
	ignoredBytes int
}

// write passes the events on that a piece of the stream completes. After the events before, it returns an error that wraps errNoEvent or
// errNotContinued if what follows cannot be the next event, is too long, or has too many bytes without one. Any other error comes from
// writing to the caller.
func (eventWriter *eventWriter) write(piece []byte) error {
	splitter, blocks := eventWriter.splitter.WithPiece(piece)
	eventWriter.splitter = splitter
	ids, events, answered := eventWriter.relay.eventIDs, []byte(nil), 0
	var blockErr error
	for _, block := range blocks {
		var text []byte
		if ids, text, blockErr = eventWriter.next(ids, block); blockErr != nil {
			break
		}
		events = append(events, text...)
		if block.IsEvent {
			answered++
		}
	}
	if answered > 0 {
		eventWriter.relay.answered(answered)
	}
	if len(events) > 0 {
		if err := eventWriter.relay.begin(eventWriter.head); err != nil {
			return err
		}
		if err := eventWriter.relay.reply.Write(events); err != nil {
			return err
		}
	}
	eventWriter.relay.eventIDs = ids
	switch {
	case blockErr != nil:
		return blockErr
	case splitter.Begun() > maxEventBytes:
		return eventWriter.noEvent(fmt.Sprintf("no end of an event in %d bytes", maxEventBytes))
	case eventWriter.ignoredBytes > maxIgnoredBytes:
		return eventWriter.noEvent(fmt.Sprintf("no event in %d bytes", maxIgnoredBytes))
	}
	return nil
}

// next returns the ids after a block of the stream and the text to pass on, or an error if the block cannot be the next one.
func (eventWriter *eventWriter) next(ids stream.EventIDs, block eventstream.Block) (stream.EventIDs, []byte, error) {
	if !eventWriter.relay.checksEvents {
		if block.ID != "" {
			ids = stream.ResumeAfter(block.ID)
		}
		return ids, block.Text, nil
	}
	event, err := eventWriter.relay.grammar.Event(block)
	switch {
	case err != nil:
		return ids, nil, eventWriter.noEventAfter(ids, err.Error())
	case event.ID == "":
		eventWriter.ignoredBytes += len(block.Text)
		return ids, nil, nil
	}
	next, ok := ids.With(event.ID)
	switch {
	case !ok && !eventWriter.hasEvent && ids.Last() != "":
		return ids, nil, fmt.Errorf("%w after event %q: its first one has the id %s", errNotContinued, ids.Last(), event.ID)
	case !ok:
		return ids, nil, eventWriter.noEventAfter(ids, fmt.Sprintf("the id %s cannot be the next one", event.ID))
	}
	eventWriter.hasEvent, eventWriter.ignoredBytes = true, 0
	return next, event.Text, nil
}

// noEvent returns an error that wraps errNoEvent, for bytes after the events that were passed on.
func (eventWriter *eventWriter) noEvent(detail string) error {
	return eventWriter.noEventAfter(eventWriter.relay.eventIDs, detail)
}

// noEventAfter returns an error that wraps errNoEvent, for bytes after the event that ids have as the last one.
func (eventWriter *eventWriter) noEventAfter(ids stream.EventIDs, detail string) error {
	return fmt.Errorf("%w after event %q: %s", errNoEvent, ids.Last(), detail)
}

// end ends the stream after the last byte that its server sent. It returns a failure if the server's part ended inside an event; inside any
// other block, on streaming routes or where only the end of the connection ended it; or without an event, unless that completes the answer.
func (eventWriter *eventWriter) end() *call.Failure {
	relay, rest := eventWriter.relay, eventWriter.splitter.Rest()
	switch {
	case rest.IsEvent:
		return eventWriter.endInsideEvent()
	case len(rest.Text) > 0 && (relay.checksEvents || eventWriter.head.EndsWithConnection):
		return eventWriter.endFailure("the stream ended inside a block without an event")
	case relay.checksEvents && !eventWriter.hasEvent && !eventWriter.endWithoutEvent():
		return eventWriter.endFailure(fmt.Sprintf("the stream ended without an event after %q", relay.eventIDs.Last()))
	case relay.callerLeft(relay.begin(eventWriter.head)):
		return nil
	case len(rest.Text) > 0:
		relay.callerErr = relay.reply.Write(rest.Text)
	}
	return nil
}

// endFailure returns the failure of a stream that ended too early. A server that has crashed ends no answer in order.
func (eventWriter *eventWriter) endFailure(detail string) *call.Failure {
	if eventWriter.head.EndsWithConnection {
		return deliveryFailure(call.CauseReset, detail)
	}
	return deliveryFailure(call.CauseIncomplete, detail)
}

// endInsideEvent returns the failure of a stream that ended inside an event, and records that there is one.
func (eventWriter *eventWriter) endInsideEvent() *call.Failure {
	if eventWriter.relay.checksEvents {
		if err := eventWriter.recordTruncatedEvent(); err != nil {
			return deliveryFailure(call.CauseMalformed, err.Error())
		}
	}
	return eventWriter.endFailure(fmt.Sprintf("the stream ended inside the event after %q", eventWriter.relay.eventIDs.Last()))
}

// recordTruncatedEvent records that the stream broke off inside its next event, so that no answer ends before it. It returns an
// error that wraps errNoEvent if the rest of the stream cannot become the next event: such bytes do not show that there is one.
func (eventWriter *eventWriter) recordTruncatedEvent() error {
	relay := eventWriter.relay
	event, err := relay.grammar.Begin(eventWriter.splitter.Rest())
	switch {
	case err != nil:
		return eventWriter.noEvent(err.Error())
	case len(event.Text) == 0:
		return nil
	case event.ID != "":
		if _, ok := relay.eventIDs.With(event.ID); !ok {
			return eventWriter.noEvent(fmt.Sprintf("the id %s cannot be the next one", event.ID))
		}
	}
	relay.eventIDs = relay.eventIDs.WithTruncatedEvent()
	return nil
}

// breakOff records that the connection broke, maybe inside the next event.
func (eventWriter *eventWriter) breakOff() {
	if eventWriter.relay.checksEvents && eventWriter.splitter.Rest().IsEvent {
		_ = eventWriter.recordTruncatedEvent() // Bytes that are no event leave nothing to record.
	}
}

// endWithoutEvent records the end of a stream whose server sent no event, and reports whether the answer is complete.
func (eventWriter *eventWriter) endWithoutEvent() bool {
	ids, complete := eventWriter.relay.eventIDs.WithEnd(!eventWriter.head.EndsWithConnection)
	eventWriter.relay.eventIDs = ids
	return complete
}
