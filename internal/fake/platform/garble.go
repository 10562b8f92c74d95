package platform

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// garbledStreams is the mean number of streams per stream that a garbling runner garbles.
	garbledStreams = 4
	// rawGarbledStreams is the same for a runner that writes garbage anywhere in the bytes of an answer.
	rawGarbledStreams = 2
	// garblePause is the pause before garbage that is sent after one, longer than the time between two events.
	garblePause = 2 * workDuration
	// garblePieces is the number of pieces of garbage that is sent in pieces, and garblePieceInterval the time between them.
	garblePieces        = 3
	garblePieceInterval = 2 * time.Millisecond
	// silentTime is how long a connection is kept after garbage without a further byte.
	silentTime = 200 * time.Millisecond
)

// SetGarbling makes the runner write garbage into some of its streams, or stop doing so. After the garbage, a stream goes on or its
// connection is closed.
func (runner *Runner) SetGarbling(garbling bool) { runner.garbling.Store(garbling) }

// SetRawGarbling makes the runner write garbage anywhere in the bytes of some of its streamed answers, head and framing
// included, or stop doing so. [Runs.Garblings] returns what it did.
func (runner *Runner) SetRawGarbling(garbling bool) { runner.rawGarbling.Store(garbling) }

// garbage returns bytes that are no event of a stream before its event at index, as a garbling runner writes them: blocks with and
// without the form of an event, an event that comes again, and the beginning of another answer. None has the id that is due, since such
// an event could not be told from the stream's own.
func garbage(index int) string {
	if index > 0 && rand.IntN(5) == 0 {
		return encodeEvent("garbage", index-1)
	}
	kinds := []string{
		"\x00\x8f\xfe garbage\n\n",
		"data: garbage\n\n",
		"id: garbage\ndata: garbage\n\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: garbage\n\n",
	}
	return kinds[rand.IntN(len(kinds))]
}

// serveGarbled sends the events of a stream from start on with garbage in some layer of the answer.
func (runner *Runner) serveGarbled(writer http.ResponseWriter, attempt string, start int) {
	writer.Header().Del("Content-Type")
	conn, fields, err := hijack(writer)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	garbling := drawGarbling(start)
	runner.runs.addGarbling(attempt, garbling)
	before, garbled, after := garbling.encode(fields, attempt)
	if garbling.Delivery == DeliveryWithEvent && len(before) > 0 {
		last := len(before) - 1
		before, garbled = before[:last], before[last]+garbled
	}
	if !writePieces(conn, before, workDuration) || !garbling.write(conn, garbled) {
		return
	}
	switch garbling.Ending {
	case EndingGoesOn:
		writePieces(conn, after, workDuration)
	case EndingReset:
		resetConnection(conn)
	case EndingSilent:
		time.Sleep(silentTime)
	}
}

// hijack takes the connection of a call from net/http, and returns it with the fields of the answer as lines of a head.
func hijack(writer http.ResponseWriter) (conn net.Conn, fields string, err error) {
	var lines strings.Builder
	_ = writer.Header().Write(&lines)
	conn, _, err = http.NewResponseController(writer).Hijack()
	return conn, lines.String(), err
}

// write writes the garbage with its delivery, and reports whether that succeeded.
func (garbling Garbling) write(conn io.Writer, garbled string) bool {
	switch garbling.Delivery {
	case DeliveryAfterPause:
		time.Sleep(garblePause)
	case DeliveryInPieces:
		return writePieces(conn, split(garbled), garblePieceInterval)
	}
	return writePieces(conn, []string{garbled}, 0)
}

// split returns a text in garblePieces pieces of random lengths.
func split(text string) []string {
	pieces := make([]string, 0, garblePieces)
	for range garblePieces - 1 {
		length := rand.IntN(len(text) + 1)
		pieces, text = append(pieces, text[:length]), text[length:]
	}
	return append(pieces, text)
}

// writePieces writes pieces with a pause after each, and reports whether that succeeded.
func writePieces(conn io.Writer, pieces []string, pause time.Duration) bool {
	for _, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// resetConnection closes a connection with a reset.
func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
