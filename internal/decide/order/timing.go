package order

import "time"

// Timing holds the time limits and intervals for orders.
type Timing struct {
	// Lease is the leader's lease time.
	Lease time.Duration
	// MaxOrderTime is the longest time from the start of sending an order until it
	// has taken effect or never will.
	MaxOrderTime time.Duration
	// CallTimeout is the time limit of a call to a server; it is shorter than MaxOrderTime.
	CallTimeout time.Duration
	// ReadInterval is the time between two reads of a server's state.
	ReadInterval time.Duration
	// RetryDelay is the delay before a retry of a call that certainly had no effect.
	RetryDelay time.Duration
	// MaxCalls is the maximum number of calls to servers in progress at one leader.
	MaxCalls int
}

// DefaultTiming returns the default timing for a lease time.
//
// MaxOrderTime exceeds CallTimeout because closing a call after 5 s does not discard bytes
// that the kernel has already accepted. TCP retransmits them for a while: about seven
// times in 30 s, with a timeout that starts at 0.2 s and doubles each time.
// Reading 2,000 servers every 30 s makes 67 reads a second over all entries.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{Lease: lease, MaxOrderTime: 30 * time.Second, CallTimeout: 5 * time.Second, ReadInterval: 30 * time.Second, RetryDelay: 5 * time.Second, MaxCalls: 32}
}
