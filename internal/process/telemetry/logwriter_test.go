package telemetry_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// slowOutput is a log whose reader reads nothing until it is resumed.
type slowOutput struct {
	resumed chan struct{}
	text    *rcu.Cell[string]
}

func newSlowOutput() *slowOutput {
	return &slowOutput{resumed: make(chan struct{}), text: rcu.New("")}
}

func (output *slowOutput) Write(line []byte) (int, error) {
	<-output.resumed
	output.text.Update(func(text string) string { return text + string(line) })
	return len(line), nil
}

// Guards against requests that wait for the reader of the log, and against lines that are dropped without a trace.
func TestSlowReaderOfTheLogBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 10_000
		output := newSlowOutput()
		writer := telemetry.NewLogWriter(output)
		for i := range lines {
			_, err := fmt.Fprintf(writer, "{\"Line\":%d}\n", i)
			require.NoError(t, err)
		}
		synctest.Wait()
		close(output.resumed)
		synctest.Wait()
		require.NoError(t, writer.Close())
		text := output.text.Load()
		written := strings.Count(text, `{"Line"`)
		assert.Contains(t, text, `{"Line":9999}`, "the latest lines are kept")
		assert.Less(t, written, lines)
		assert.EqualValues(t, lines-written, writer.Dropped())
		assert.Contains(t, text, fmt.Sprintf(`"DroppedTotal":%d`, writer.Dropped()))
	})
}

// Guards against a process that cannot end because nobody reads its log.
func TestLogThatNobodyReadsDoesNotKeepTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := newSlowOutput()
		writer := telemetry.NewLogWriter(output)
		_, err := fmt.Fprintln(writer, "{}")
		require.NoError(t, err)
		start := time.Now()
		require.Error(t, writer.Close())
		assert.LessOrEqual(t, time.Since(start), time.Second)
		close(output.resumed)
	})
}

// signalOutput is a log whose reader learns of each line.
type signalOutput chan struct{}

func (output signalOutput) Write(line []byte) (int, error) {
	output <- struct{}{}
	return len(line), nil
}

// Guards against a line that stays in the buffer until the next one is logged, which may be hours later: the wakeup of the goroutine that
// writes was lost if it was just about to wait. The test uses real time, since the race depends on the scheduler.
func TestEachLogLineIsWrittenAtOnce(t *testing.T) {
	t.Parallel()
	output := make(signalOutput, 1)
	writer := telemetry.NewLogWriter(output)
	timeout := time.NewTimer(10 * time.Second)
	defer timeout.Stop()
	for number := range 200_000 {
		_, err := writer.Write([]byte("{}\n"))
		require.NoError(t, err)
		timeout.Reset(10 * time.Second)
		select {
		case <-output:
		case <-timeout.C:
			require.Fail(t, "a line was not written", "line %d, within 10 s", number)
		}
	}
	require.NoError(t, writer.Close())
}
