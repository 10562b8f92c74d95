package retry

import "time"

const (
	// MinReclaimNotice is the shortest time between the platform's notice of a reclaim and the reclaim.
	MinReclaimNotice = 5 * time.Second
	// MoveTime is the longest time that copying the KV cache of a completion to another server may take.
	MoveTime = 2 * time.Second
	// moveDelay is the time that a completion stays at a leaving server before it is
	// moved, so that short completions finish there.
	moveDelay = time.Second
)

// MoveDue reports whether a completion at a server that has been leaving for the
// given time should be moved with its KV cache. It should not while it may still
// finish there, nor once the remaining notice is too short for the copy.
func MoveDue(leavingFor time.Duration) bool {
	return leavingFor >= moveDelay && leavingFor+MoveTime <= MinReclaimNotice
}
