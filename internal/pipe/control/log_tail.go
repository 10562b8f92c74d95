package control

import "slices"

// LogEntry is one numbered change of a log.
type LogEntry struct {
	// Number is the revision that results from the change.
	Number int64
	// Checkpoint reports whether Data replaces the whole log up to Number.
	Checkpoint bool
	Data       []byte
}

// LogTail is an immutable sequence of log entries without a gap, which starts at the
// latest checkpoint if there is one; the zero value is empty.
type LogTail struct {
	entries  []LogEntry
	revision int64
}

// Revision returns the number of the latest log entry, 0 for none.
func (logTail LogTail) Revision() int64 { return logTail.revision }

// Len returns the number of log entries in the tail.
func (logTail LogTail) Len() int { return len(logTail.entries) }

// WithCheckpoint returns the tail with its log entries replaced by a checkpoint of its own revision.
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
// The first one is a checkpoint if the log entries before it are no longer retained.
func (logTail LogTail) Since(revision int64) []LogEntry {
	start, _ := slices.BinarySearchFunc(logTail.entries, revision+1, func(entry LogEntry, number int64) int {
		return int(entry.Number - number)
	})
	return logTail.entries[start:]
}

// WithEntry returns the tail with a log entry appended, or false if the log entry does not follow it.
//
// A change follows if its number is the next one. A checkpoint follows any lower
// revision and replaces the log entries before it.
func (logTail LogTail) WithEntry(entry LogEntry) (LogTail, bool) {
	switch {
	case entry.Checkpoint && entry.Number > logTail.revision:
		return LogTail{entries: []LogEntry{entry}, revision: entry.Number}, true
	case !entry.Checkpoint && entry.Number == logTail.revision+1:
		return LogTail{entries: append(slices.Clip(logTail.entries), entry), revision: entry.Number}, true
	}
	return logTail, false
}
