// Package config commits configuration changes to the numbered log, and loads the
// configuration when an entry starts.
//
// A [Committer] decodes a change, validates it against the configuration set that
// the operator read (its base), appends it to the log, and answers. The number of
// the log entry is the revision. Only one change can create that log entry; an
// operator who submits another change for the same revision receives a
// [*ConflictError] with the change that was committed. A [Loader] reads the latest
// checkpoint and the log entries after it.
//
// A [Checkpointer] keeps the log short. It writes the set in parts and then a
// marker, which makes the checkpoint valid. Only after that does it raise the floor
// of the log and delete older data. Each attempt writes its parts under keys of its
// own. A process that was paused beyond the end of its lease therefore does no
// damage: whatever it still writes is either a complete and valid checkpoint, or
// parts without a marker, which are ignored.
//
// [History] holds the recent changes in memory, so that operators can read them
// while the key-value service is unavailable.
package config
