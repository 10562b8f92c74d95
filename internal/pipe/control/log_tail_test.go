package control_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
)

// Guards against a log tail that grows as long as the entry runs, and against a peer that cannot
// catch up from a tail whose earlier log entries were replaced by a checkpoint.
func TestLogTailIsCompactedByACheckpoint(t *testing.T) {
	tail := control.LogTail{}
	for number := int64(1); number <= 10; number++ {
		tail, _ = tail.WithEntry(control.LogEntry{Number: number})
	}
	before := tail
	tail = tail.WithCheckpoint(control.LogEntry{Number: 9, Checkpoint: true})
	assert.Equal(t, 10, tail.Len(), "a checkpoint of an older revision would lose changes")
	tail = tail.WithCheckpoint(control.LogEntry{Number: 10, Checkpoint: true})
	assert.Equal(t, 1, tail.Len())
	assert.Equal(t, int64(10), tail.Revision())
	assert.Equal(t, 10, before.Len(), "the tail that a reader holds must not change")
	lagging := control.LogTail{}
	for _, entry := range tail.Since(3) {
		lagging, _ = lagging.WithEntry(entry)
	}
	assert.Equal(t, int64(10), lagging.Revision())
	next, follows := tail.WithEntry(control.LogEntry{Number: 11})
	assert.True(t, follows)
	assert.Equal(t, 2, next.Len())
}
