package forward

import (
	"errors"
	"fmt"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

// maxEventBytes bounds an event, which an entry keeps until it is whole. The events of engines have some hundred bytes.
const maxEventBytes = 64 << 10

var (
	// errNoEvent means that a server sent bytes in place of the next event of its stream.
	errNoEvent = errors.New("the stream has bytes that are no event")
	// errLongEvent means that maxEventBytes arrived without the end of an event.
	errLongEvent = fmt.Errorf("%w: no end of an event in %d bytes", errNoEvent, maxEventBytes)
)

// eventWriter passes only whole events on and records the id of the last one, so that another server can resume the stream
// after it.
type eventWriter struct {
	relay    *relay
	splitter eventstream.Splitter
	// hasEvent reports whether this server has sent an event.
	hasEvent bool
}

// write passes the events on that a piece of the stream completes. After the events before, it returns errNoEvent for a block that
// cannot be the next event, and errLongEvent for one that is too long.
func (eventWriter *eventWriter) write(piece []byte) error {
	splitter, blocks := eventWriter.splitter.WithPiece(piece)
	eventWriter.splitter = splitter
	ids, sound, answered := eventWriter.relay.eventIDs, true, false
	var whole []byte
	for _, block := range blocks {
		if ids, sound = eventWriter.next(ids, block); !sound {
			break
		}
		whole = append(whole, block.Text...)
		answered = answered || block.IsEvent
	}
	if answered {
		eventWriter.hasEvent = true
		eventWriter.relay.answered()
	}
	if len(whole) > 0 {
		if err := eventWriter.relay.reply.Write(whole); err != nil {
			return err
		}
	}
	eventWriter.relay.eventIDs = ids
	switch {
	case !sound:
		return errNoEvent
	case splitter.Begun() > maxEventBytes:
		return errLongEvent
	}
	return nil
}

// next returns the ids after a block of the stream, and false if the block cannot be the next one.
func (eventWriter *eventWriter) next(ids stream.EventIDs, block eventstream.Block) (stream.EventIDs, bool) {
	switch {
	case !block.IsEvent:
		return ids, true
	case !eventWriter.relay.numbered:
		if block.ID != "" {
			return stream.ResumeAfter(block.ID), true
		}
		return ids, true
	case block.IsMalformed:
		return ids, false
	}
	return ids.With(block.ID)
}

// end ends the stream after the last byte that its server sent. It returns a failure if the stream was broken off: inside an event,
// however the server ended it; inside any block, where nothing but the end of the connection ended it; or without a new event where one
// is due.
func (eventWriter *eventWriter) end(head call.AnswerHead) *call.Failure {
	relay, rest := eventWriter.relay, eventWriter.splitter.Rest()
	switch {
	case rest.IsEvent:
		if !rest.IsMalformed {
			relay.eventIDs = relay.eventIDs.WithTruncatedEvent()
		}
		return deliveryFailure(call.CauseReset, "the stream ended inside an event")
	case head.EndsWithConnection && len(rest.Text) > 0:
		return deliveryFailure(call.CauseReset, "the connection ended inside a block of the stream")
	case relay.numbered && !eventWriter.hasEvent && !eventWriter.endWithoutEvent(head):
		return deliveryFailure(call.CauseReset, fmt.Sprintf("the stream ended without an event after %q", relay.eventIDs.Last()))
	case len(rest.Text) > 0:
		relay.callerErr = relay.reply.Write(rest.Text)
	}
	return nil
}

// endWithoutEvent records the end of a stream whose server sent no event, and reports whether the answer is complete.
func (eventWriter *eventWriter) endWithoutEvent(head call.AnswerHead) bool {
	ids, complete := eventWriter.relay.eventIDs.WithEnd(!head.EndsWithConnection)
	eventWriter.relay.eventIDs = ids
	return complete
}
