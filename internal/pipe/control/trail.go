package control

import "slices"

// LogEntry is one numbered change of a log.
type LogEntry struct {
	// Number is the revision that the change yields.
	Number int64
	// Checkpoint marks data that stands for the whole log up to Number.
	Checkpoint bool
	Data       []byte
}

// Trail is the log entries since the newest checkpoint, without a gap.
type Trail struct {
	entries  []LogEntry
	revision int64
}

// Revision returns the number of the newest log entry, 0 for none.
func (trail Trail) Revision() int64 { return trail.revision }

// Len returns the number of log entries held.
func (trail Trail) Len() int { return len(trail.entries) }

// WithCheckpoint returns the trail that starts anew at a checkpoint of its own revision.
//
// A checkpoint of any other revision changes nothing.
func (trail Trail) WithCheckpoint(entry LogEntry) Trail {
	if !entry.Checkpoint || entry.Number != trail.revision {
		return trail
	}
	return Trail{entries: []LogEntry{entry}, revision: entry.Number}
}

// Since returns the log entries after a revision, oldest first, which the caller must not change.
//
// The first is a checkpoint when the ones before it are no longer held.
func (trail Trail) Since(revision int64) []LogEntry {
	at, _ := slices.BinarySearchFunc(trail.entries, revision+1, func(entry LogEntry, number int64) int {
		return int(entry.Number - number)
	})
	return trail.entries[at:]
}

// WithEntry returns the trail with the entry that follows it, and false for any other entry.
//
// A checkpoint may follow any lower revision.
func (trail Trail) WithEntry(entry LogEntry) (Trail, bool) {
	switch {
	case entry.Checkpoint && entry.Number > trail.revision:
		return Trail{entries: []LogEntry{entry}, revision: entry.Number}, true
	case !entry.Checkpoint && entry.Number == trail.revision+1:
		return Trail{entries: append(slices.Clip(trail.entries), entry), revision: entry.Number}, true
	}
	return trail, false
}
