package duty

import "time"

// marginDivisor is the part of a lease's time that its holder leaves unused.
// A tenth covers clocks that differ in rate and the time in which work stops.
const marginDivisor = 10

// Lease is the right of one holder to perform a duty.
type Lease struct {
	number int64
	since  time.Time
	until  time.Time
}

// NewLease returns the right that a lease of ttl gives to a holder that asked for it at the given time.
//
// The number must come from the service that grants the lease and rise with each
// grant. Time counts from before the call, since the service counts from when it
// served the call.
func NewLease(number int64, asked, granted time.Time, ttl time.Duration) Lease {
	return Lease{number: number, since: granted, until: end(asked, ttl)}
}

// Number returns the fencing number, which is higher than that of each earlier holder.
func (lease Lease) Number() int64 { return lease.number }

// Since returns when the holder learned that the lease was granted.
func (lease Lease) Since() time.Time { return lease.since }

// Until returns when the holder must have stopped.
func (lease Lease) Until() time.Time { return lease.until }

// Held reports whether the holder may still act.
func (lease Lease) Held(now time.Time) bool { return now.Before(lease.until) }

// WithRenewal returns the tenure after the lease was renewed by a call made at the given time.
func (lease Lease) WithRenewal(asked time.Time, ttl time.Duration) Lease {
	if until := end(asked, ttl); until.After(lease.until) {
		lease.until = until
	}
	return lease
}

// WithEnd returns the tenure given up at a time.
func (lease Lease) WithEnd(now time.Time) Lease {
	if now.Before(lease.until) {
		lease.until = now
	}
	return lease
}

func end(asked time.Time, ttl time.Duration) time.Time {
	return asked.Add(ttl - ttl/marginDivisor)
}
