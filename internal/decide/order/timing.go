package order

import "time"

// Timing bounds what is sent when.
type Timing struct {
	// Lease is the lease time of the duty.
	Lease time.Duration
	// MaxOrderTime is the longest time from the start of sending an order until it
	// has taken effect or never will.
	MaxOrderTime time.Duration
	// Timeout bounds a call, and is shorter than Longest.
	Timeout time.Duration
	// ReadInterval is the time between two reads of a server's state.
	ReadInterval time.Duration
	// Retry is the time after a call that surely had no effect.
	Retry time.Duration
	// Calls bounds the calls in progress.
	Calls int
}

// DefaultTiming returns the timing for a lease time.
//
// Closing a call after 5 s does not recall bytes that the kernel has taken, and
// TCP sends them again for a while: in 30 s, after waits of 0.2 s doubled each
// time, about seven times. 2,000 servers read every 30 s make 67 reads a second,
// over all entries.
func DefaultTiming(lease time.Duration) Timing {
	return Timing{Lease: lease, MaxOrderTime: 30 * time.Second, Timeout: 5 * time.Second, ReadInterval: 30 * time.Second, Retry: 5 * time.Second, Calls: 32}
}
