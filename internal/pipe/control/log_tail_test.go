package control_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/control"
)

// Guards against a log that grows as long as the entry lives, and against a peer that a shortened one cannot serve.
func TestTrailIsCutAtACheckpoint(t *testing.T) {
	trail := control.LogTail{}
	for number := int64(1); number <= 10; number++ {
		trail, _ = trail.WithEntry(control.LogEntry{Number: number})
	}
	whole := trail
	trail = trail.WithCheckpoint(control.LogEntry{Number: 9, Checkpoint: true})
	assert.Equal(t, 10, trail.Len(), "a checkpoint of an older revision would lose changes")
	trail = trail.WithCheckpoint(control.LogEntry{Number: 10, Checkpoint: true})
	assert.Equal(t, 1, trail.Len())
	assert.Equal(t, int64(10), trail.Revision())
	assert.Equal(t, 10, whole.Len(), "a reader's trail must not change")
	lagging := control.LogTail{}
	for _, entry := range trail.Since(3) {
		lagging, _ = lagging.WithEntry(entry)
	}
	assert.Equal(t, int64(10), lagging.Revision())
	next, follows := trail.WithEntry(control.LogEntry{Number: 11})
	assert.True(t, follows)
	assert.Equal(t, 2, next.Len())
}
