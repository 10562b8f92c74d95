package handover

import (
	"fmt"
	"time"
)

// Interruption is the error of a completion that ended because its entry leaves.
//
// The caller gets the rest by repeating the request with the same id.
type Interruption struct {
	// ID is the request id to repeat.
	ID string
	// Tokens is the place in the answer up to which tokens were relayed.
	Tokens int
	// Held reports whether a peer holds the answer so far; otherwise the repeat
	// gets the answer from the start.
	Held bool
	// RetryAfter is when the caller should repeat.
	RetryAfter time.Duration
}

// Error says what the caller can do.
func (interruption *Interruption) Error() string {
	return fmt.Sprintf("this entry is stopping; repeat the request with X-Request-Id %s after token %d", interruption.ID, interruption.Tokens)
}
