package handover

import (
	"fmt"
	"time"
)

// Interruption is the error of a completion that was cut off because its entry is leaving.
//
// The caller gets the remaining answer by repeating the request with the same id.
type Interruption struct {
	// ID is the request id to repeat.
	ID string
	// Tokens is the position in the whole answer, in tokens, up to which it was relayed to the caller.
	Tokens int
	// Held reports whether a peer holds the answer so far; if not, a repeat gets the
	// answer from the start.
	Held bool
	// RetryAfter is the time that the caller should wait before it repeats the request.
	RetryAfter time.Duration
}

// Error returns a message that tells the caller how to get the remaining answer.
func (interruption *Interruption) Error() string {
	return fmt.Sprintf("this entry is stopping; repeat the request with X-Request-Id %s after token %d", interruption.ID, interruption.Tokens)
}
