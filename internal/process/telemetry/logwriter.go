package telemetry

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// logBufferLines is the number of log lines that are buffered for a slow reader; beyond it, the oldest are dropped.
const logBufferLines = 4096

// flushTimeout bounds the time for which [LogWriter.Close] waits for the reader of the log, so that a reader that has
// stopped does not keep the process from ending.
const flushTimeout = 200 * time.Millisecond

// errNotFlushed means that the reader of the log did not read the buffered lines in time.
var errNotFlushed = errors.New("telemetry: log lines lost, since the reader of the log does not read")

// LogWriter passes log lines on without blocking their writers, and drops the oldest lines while the output is slower.
//
// It writes a line with the number of dropped ones in their place.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, and ended once the lines before that have been written.
	closing   chan struct{}
	ended     chan struct{}
	closeOnce sync.Once
}

// NewLogWriter returns a writer of lines to output, which gets one line at a time.
func NewLogWriter(output io.Writer) *LogWriter {
	writer := &LogWriter{lines: make(chan []byte, logBufferLines), closing: make(chan struct{}), ended: make(chan struct{})}
	go writer.run(output)
	return writer
}

// Write implements [io.Writer] for one line; it never fails.
func (writer *LogWriter) Write(line []byte) (int, error) {
	buffered := bytes.Clone(line) // The caller uses its buffer again.
	// Each round adds the line or makes room for it, unless another goroutine has taken the place or the line in between. So it ends
	// without waiting for the output.
	for {
		select {
		case writer.lines <- buffered:
			return len(line), nil
		default:
		}
		select {
		case <-writer.lines:
			writer.dropped.Add(1)
		default: // The output has taken a line in between.
		}
	}
}

// Dropped returns the number of lines that were dropped.
func (writer *LogWriter) Dropped() int64 { return writer.dropped.Load() }

// Close writes the buffered lines, for at most flushTimeout, and closes the output if it is an [io.Closer].
func (writer *LogWriter) Close() error {
	writer.closeOnce.Do(func() { close(writer.closing) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-writer.ended:
		return nil
	case <-timer.C:
		return errNotFlushed
	}
}

// run writes the lines to the output until the writer is closed.
func (writer *LogWriter) run(output io.Writer) {
	defer close(writer.ended)
	if closer, ok := output.(io.Closer); ok {
		defer func() { _ = closer.Close() }() // The log, which would tell of the error, has ended.
	}
	warnings := zerolog.New(output).With().Timestamp().Logger()
	reported := int64(0)
	for line := range writer.untilClosed {
		if total := writer.dropped.Load(); total > reported {
			warnings.Warn().Int64("Dropped", total-reported).Int64("DroppedTotal", total).Msg("log lines dropped, since the reader of the log is too slow")
			reported = total
		}
		_, _ = output.Write(line) // A log that cannot be written must not end the process.
	}
}

// untilClosed yields the lines until the writer is closed and all lines before that have been yielded.
func (writer *LogWriter) untilClosed(yield func([]byte) bool) {
	for {
		select {
		case line := <-writer.lines:
			if !yield(line) {
				return
			}
		case <-writer.closing:
			// Once the writer is closed, select takes either case at random, so a round may take no line; the next ones do.
			if len(writer.lines) == 0 {
				return
			}
		}
	}
}
