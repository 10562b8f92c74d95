package duty

import "time"

// marginDivisor sets the margin at the end of a lease, 1/marginDivisor of its time, in
// which the leader no longer acts. A tenth covers differences in clock rate and the time
// to stop work.
const marginDivisor = 10

// Lease is the right of one leader to perform a duty until a time.
type Lease struct {
	number    int64
	grantedAt time.Time
	expiresAt time.Time
	// released reports that the leader gave the lease up, which no renewal revokes.
	released bool
}

// NewLease returns the lease of a leader that requested it at requestedAt and received the grant at grantedAt.
//
// The number must be assigned by the service that grants the lease and rise with each
// grant. The ttl counts from before the call, because the service counts it from
// the time at which it processed the call.
func NewLease(number int64, requestedAt, grantedAt time.Time, ttl time.Duration) Lease {
	return Lease{number: number, grantedAt: grantedAt, expiresAt: expiry(requestedAt, ttl)}
}

// FencingNumber returns the fencing number, which is higher than that of each earlier leader.
func (lease Lease) FencingNumber() int64 { return lease.number }

// Since returns the time at which the leader received the grant.
func (lease Lease) Since() time.Time { return lease.grantedAt }

// Until returns the time by which the leader must have stopped.
func (lease Lease) Until() time.Time { return lease.expiresAt }

// Held reports whether the leader may still act.
func (lease Lease) Held(now time.Time) bool { return now.Before(lease.expiresAt) }

// WithRenewal returns the lease after a renewal by a call made at requestedAt; an earlier
// call that is answered late does not shorten it. A renewal that is answered after the release
// changes nothing, since the next leader may act by then.
func (lease Lease) WithRenewal(requestedAt time.Time, ttl time.Duration) Lease {
	if lease.released {
		return lease
	}
	if expiresAt := expiry(requestedAt, ttl); expiresAt.After(lease.expiresAt) {
		lease.expiresAt = expiresAt
	}
	return lease
}

// WithRelease returns the lease after the leader released it at the given time.
func (lease Lease) WithRelease(now time.Time) Lease {
	if now.Before(lease.expiresAt) {
		lease.expiresAt = now
	}
	lease.released = true
	return lease
}

// expiry returns the time at which the leader stops, which is before the lease expires at the service.
func expiry(requestedAt time.Time, ttl time.Duration) time.Time {
	return requestedAt.Add(ttl - ttl/marginDivisor)
}
