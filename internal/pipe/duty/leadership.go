package duty

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/duty"
)

// Leadership is a duty that this entry holds, or has held; several threads may use it.
type Leadership struct {
	lease *rcu.Cell[duty.Lease]
}

// NewLeadership returns a holding of the given tenure.
func NewLeadership(tenure duty.Lease) *Leadership {
	return &Leadership{lease: rcu.New(tenure)}
}

// Number returns the fencing number: the revision at which the lease's key was created.
func (leadership *Leadership) Number() int64 { return leadership.lease.Load().Number() }

// Since returns when this entry learned that it holds the duty.
func (leadership *Leadership) Since() time.Time { return leadership.lease.Load().Since() }

// Until returns when this entry must stop, unless it renews the lease before.
func (leadership *Leadership) Until() time.Time { return leadership.lease.Load().Until() }

// Held reports whether this entry may act now.
func (leadership *Leadership) Held() bool { return leadership.lease.Load().Held(time.Now()) }

func (leadership *Leadership) renew(asked time.Time, ttl time.Duration) {
	leadership.lease.Update(func(tenure duty.Lease) duty.Lease { return tenure.WithRenewal(asked, ttl) })
}

func (leadership *Leadership) end() {
	now := time.Now()
	leadership.lease.Update(func(tenure duty.Lease) duty.Lease { return tenure.WithEnd(now) })
}
