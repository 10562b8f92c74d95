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

// LogTail is the log entries since the newest checkpoint, without a gap.
type LogTail struct {
	entries  []LogEntry
	revision int64
}

// Revision returns the number of the newest log entry, 0 for none.
func (logTail LogTail) Revision() int64 { return logTail.revision }

// Len returns the number of log entries held.
func (logTail LogTail) Len() int { return len(logTail.entries) }

// WithCheckpoint returns the trail that starts anew at a checkpoint of its own revision.
//
// A checkpoint of any other revision changes nothing.
func (logTail LogTail) WithCheckpoint(entry LogEntry) LogTail {
	if !entry.Checkpoint || entry.Number != logTail.revision {
		return logTail
	}
	return LogTail{entries: []LogEntry{entry}, revision: entry.Number}
}

// Since returns the log entries after a revision, oldest first, which the caller must not change.
//
// The first is a checkpoint when the ones before it are no longer held.
func (logTail LogTail) Since(revision int64) []LogEntry {
	at, _ := slices.BinarySearchFunc(logTail.entries, revision+1, func(entry LogEntry, number int64) int {
		return int(entry.Number - number)
	})
	return logTail.entries[at:]
}

// WithEntry returns the trail with the entry that follows it, and false for any other entry.
//
// A checkpoint may follow any lower revision.
func (logTail LogTail) WithEntry(entry LogEntry) (LogTail, bool) {
	switch {
	case entry.Checkpoint && entry.Number > logTail.revision:
		return LogTail{entries: []LogEntry{entry}, revision: entry.Number}, true
	case !entry.Checkpoint && entry.Number == logTail.revision+1:
		return LogTail{entries: append(slices.Clip(logTail.entries), entry), revision: entry.Number}, true
	}
	return logTail, false
}
