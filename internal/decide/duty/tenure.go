package duty

import "time"

// marginDivisor is the part of a lease's time that its holder leaves unused.
// A tenth covers clocks that differ in rate and the time in which work stops.
const marginDivisor = 10

// Tenure is the right of one holder to perform a duty.
type Tenure struct {
	number    int64
	grantedAt time.Time
	expiresAt time.Time
}

// NewTenure returns the right that a lease of ttl gives to a holder that asked for it at the given time.
//
// The number must come from the service that grants the lease and rise with each
// grant. Time counts from before the call, since the service counts from when it
// served the call.
func NewTenure(number int64, asked, granted time.Time, ttl time.Duration) Tenure {
	return Tenure{number: number, grantedAt: granted, expiresAt: expiry(asked, ttl)}
}

// Number returns the fencing number, which is higher than that of each earlier holder.
func (tenure Tenure) Number() int64 { return tenure.number }

// Since returns when the holder learned that the lease was granted.
func (tenure Tenure) Since() time.Time { return tenure.grantedAt }

// Until returns when the holder must have stopped.
func (tenure Tenure) Until() time.Time { return tenure.expiresAt }

// Held reports whether the holder may still act.
func (tenure Tenure) Held(now time.Time) bool { return now.Before(tenure.expiresAt) }

// WithRenewal returns the tenure after the lease was renewed by a call made at the given time.
func (tenure Tenure) WithRenewal(asked time.Time, ttl time.Duration) Tenure {
	if until := expiry(asked, ttl); until.After(tenure.expiresAt) {
		tenure.expiresAt = until
	}
	return tenure
}

// WithEnd returns the tenure given up at a time.
func (tenure Tenure) WithEnd(now time.Time) Tenure {
	if now.Before(tenure.expiresAt) {
		tenure.expiresAt = now
	}
	return tenure
}

func expiry(asked time.Time, ttl time.Duration) time.Time {
	return asked.Add(ttl - ttl/marginDivisor)
}
