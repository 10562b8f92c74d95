package telemetry

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
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
	buffer  diode.Writer
	dropped atomic.Int64
}

// NewLogWriter returns a writer of lines to output, which gets one line at a time.
func NewLogWriter(output io.Writer) *LogWriter {
	writer := &LogWriter{}
	warnings := zerolog.New(output).With().Timestamp().Logger()
	// The buffer calls this function between two lines, from the goroutine that writes them.
	writer.buffer = diode.NewWriter(output, logBufferLines, 0, func(missed int) {
		total := writer.dropped.Add(int64(missed))
		warnings.Warn().Int("Dropped", missed).Int64("DroppedTotal", total).Msg("log lines dropped, since the reader of the log is too slow")
	})
	return writer
}

// Write implements [io.Writer] for one line; it never fails.
func (writer *LogWriter) Write(line []byte) (int, error) { return writer.buffer.Write(line) }

// Dropped returns the number of lines that were dropped.
func (writer *LogWriter) Dropped() int64 { return writer.dropped.Load() }

// Close writes the buffered lines, for at most flushTimeout, and closes the output if it is an [io.Closer].
func (writer *LogWriter) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- writer.buffer.Close() }()
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		return errNotFlushed
	}
}
