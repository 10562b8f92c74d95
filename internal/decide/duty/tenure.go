package duty

import "time"

// marginDivisor is the divisor that gives the part of a lease's time that the leader
// does not use. A tenth covers differences in clock rate and the time to stop work.
const marginDivisor = 10

// Lease is the right of one leader to perform a duty until a time.
type Tenure struct {
	number    int64
	grantedAt time.Time
	expiresAt time.Time
}

// NewLease returns the lease of a leader that requested it at asked and received the grant at granted.
//
// The number must be assigned by the service that grants the lease and rise with each
// grant. The ttl counts from before the call, because the service counts it from
// the time at which it processed the call.
func NewTenure(number int64, asked, granted time.Time, ttl time.Duration) Tenure {
	return Tenure{number: number, grantedAt: granted, expiresAt: expiry(asked, ttl)}
}

// Number returns the fencing number, which is higher than that of each earlier leader.
func (tenure Tenure) Number() int64 { return tenure.number }

// Since returns the time at which the leader received the grant.
func (tenure Tenure) Since() time.Time { return tenure.grantedAt }

// Until returns the time by which the leader must have stopped.
func (tenure Tenure) Until() time.Time { return tenure.expiresAt }

// Held reports whether the leader may still act.
func (tenure Tenure) Held(now time.Time) bool { return now.Before(tenure.expiresAt) }

// WithRenewal returns the lease after a renewal by a call made at asked; an earlier
// call that is answered late does not shorten it.
func (tenure Tenure) WithRenewal(asked time.Time, ttl time.Duration) Tenure {
	if until := expiry(asked, ttl); until.After(tenure.expiresAt) {
		tenure.expiresAt = until
	}
	return tenure
}

// WithEnd returns the lease released at the given time.
func (tenure Tenure) WithEnd(now time.Time) Tenure {
	if now.Before(tenure.expiresAt) {
		tenure.expiresAt = now
	}
	return tenure
}

func expiry(asked time.Time, ttl time.Duration) time.Time {
	return asked.Add(ttl - ttl/marginDivisor)
}
