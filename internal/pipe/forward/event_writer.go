package forward

import (
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/eventstream"
)

// eventWriter passes only whole events on and records the id of the last one, so that another server can resume the stream
// after it.
type eventWriter struct {
	relay    *relay
	splitter eventstream.Splitter
}

// write passes the events on that a piece of the stream completes.
func (eventWriter *eventWriter) write(piece []byte) error {
	splitter, blocks := eventWriter.splitter.WithPiece(piece)
	eventWriter.splitter = splitter
	if len(blocks) == 0 {
		return nil
	}
	var whole []byte
	lastID := eventWriter.relay.lastEventID
	for _, block := range blocks {
		whole = append(whole, block.Text...)
		if block.IsEvent {
			eventWriter.relay.answered()
		}
		if block.ID != "" {
			lastID = block.ID
		}
	}
	if err := eventWriter.relay.reply.Write(whole); err != nil {
		return err
	}
	eventWriter.relay.lastEventID = lastID
	return nil
}

// end ends the stream after the last byte that its server sent. It returns a failure if that byte is inside an event, since the
// stream was then broken off, however the server ended it.
func (eventWriter *eventWriter) end() *call.Failure {
	rest := eventWriter.splitter.Rest()
	if rest.IsEvent {
		return deliveryFailure(call.CauseReset, "the stream ended inside an event")
	}
	if len(rest.Text) > 0 {
		eventWriter.relay.callerErr = eventWriter.relay.reply.Write(rest.Text)
	}
	return nil
}
