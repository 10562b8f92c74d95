package retry

import "time"

const (
	// NoticeLeast is the shortest notice of a reclaim that the platform gives.
	NoticeLeast = 5 * time.Second
	// MoveTime bounds the copy of a KV cache to another server.
	MoveTime = 2 * time.Second
	// moveAfter is how long a completion stays at a server that leaves, so that
	// short work ends there and is not moved.
	moveAfter = time.Second
)

// MoveDue reports whether a completion at a server that is leaving is to be
// moved with its KV cache: not while it may end by itself, and not when the
// notice no longer leaves time for the copy.
func MoveDue(leavingFor time.Duration) bool {
	return leavingFor >= moveAfter && leavingFor+MoveTime <= NoticeLeast
}
