package duty

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/duty"
)

// Leadership is the right of this entry to perform a duty, which ends with its lease; it is safe for
// concurrent use.
type Leadership struct {
	lease *rcu.Cell[duty.Lease]
	// isLost reports whether the lease is known to have ended before its time; nil if that cannot be known.
	isLost func() bool
}

// NewLeadership returns the leadership that lasts as long as lease.
func NewLeadership(lease duty.Lease) *Leadership {
	return &Leadership{lease: rcu.New(lease)}
}

// FencingNumber returns the fencing number: the revision at which the lease's key was created.
func (leadership *Leadership) FencingNumber() int64 { return leadership.lease.Load().FencingNumber() }

// Since returns the time at which this entry received the lease.
func (leadership *Leadership) Since() time.Time { return leadership.lease.Load().Since() }

// Until returns the time by which the work must have stopped, unless the lease is renewed before.
func (leadership *Leadership) Until() time.Time { return leadership.lease.Load().Until() }

// Held reports whether the lease is still valid, so that this entry may act now.
func (leadership *Leadership) Held() bool {
	return leadership.lease.Load().Held(time.Now()) && (leadership.isLost == nil || !leadership.isLost())
}

func (leadership *Leadership) renew(requestedAt time.Time, ttl time.Duration) {
	leadership.lease.Update(func(lease duty.Lease) duty.Lease { return lease.WithRenewal(requestedAt, ttl) })
}

func (leadership *Leadership) end() {
	now := time.Now()
	leadership.lease.Update(func(lease duty.Lease) duty.Lease { return lease.WithRelease(now) })
}
