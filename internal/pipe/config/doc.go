// Package config is the path of a configuration change into the numbered log, and back at the start of an entry.
//
// A [Committer] decodes a change, validates it against the set that the
// operator read, appends it to the log and answers; the number of the log entry
// is the revision. Creating that entry decides between operators: the one who
// comes second gets a [*ConflictError] with the other's change. A [Loader]
// reads the newest checkpoint and the log after it.
//
// A [Checkpointer] keeps the log short. It writes the set in parts and then a
// marker, which makes the checkpoint valid; only then it raises the floor of
// the log and deletes what is older. Each attempt has keys of its own, so that
// a holder of the lease that slept past its end damages nothing: whatever it
// still writes is either complete and valid, or has no marker.
//
// [History] holds the recent changes in memory, so that operators can read them
// while the key-value service is out.
package config
