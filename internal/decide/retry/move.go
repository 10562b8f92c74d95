package retry

import "time"

const (
	// MinReclaimNotice is the shortest notice of a reclaim that the platform gives.
	MinReclaimNotice = 5 * time.Second
	// MoveTime bounds the copy of a KV cache to another server.
	MoveTime = 2 * time.Second
	// moveDelay is how long a completion stays at a server that leaves, so that
	// short work ends there and is not moved.
	moveDelay = time.Second
)

// MoveDue reports whether a completion at a server that is leaving is to be
// moved with its KV cache: not while it may end by itself, and not when the
// notice no longer leaves time for the copy.
func MoveDue(leavingFor time.Duration) bool {
	return leavingFor >= moveDelay && leavingFor+MoveTime <= MinReclaimNotice
}
