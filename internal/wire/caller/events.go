package caller

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// writeTimeout bounds the time for which a caller may leave an event of its stream unread. It is longer than the seconds for
// which links fail.
const writeTimeout = 10 * time.Second

// events is a stream of server-sent events to a caller, whose head is sent with the first event.
type events struct {
	c      *app.RequestContext
	writer *sse.Writer
}

// begun reports whether the head has been sent.
func (events *events) begun() bool { return events.writer != nil }

// write sends an event. It fails if the caller does not read.
func (events *events) write(id, event string, data []byte) error {
	if !events.begun() {
		events.writer = sse.NewWriter(events.c)
	}
	if err := events.c.GetConn().SetWriteTimeout(writeTimeout); err != nil {
		return err
	}
	return events.writer.WriteEvent(id, event, data)
}

// end lifts the time limit, which would hold for the next answer on the connection too.
func (events *events) end() {
	if events.begun() {
		_ = events.c.GetConn().SetWriteTimeout(0) // It fails on a closed connection only.
	}
}
