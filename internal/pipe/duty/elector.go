package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

const step = "duty"

// ErrLost is returned when a lease has lapsed.
var ErrLost = errors.New("duty: lease lost")

// Lease is the right to perform a duty for some time.
type Lease interface {
	// Number is the revision of the service at which the lease's key was created.
	Number() int64
	// TTL is the time that the service granted, which each renewal grants again.
	TTL() time.Duration
	// KeepAlive renews the lease; [ErrLost] means that it cannot be renewed any more.
	KeepAlive(ctx context.Context) error
	Revoke(ctx context.Context) error
}

// Leases hands out each key to one holder at a time.
type Leases interface {
	// Acquire returns nil while another holder has the key.
	Acquire(ctx context.Context, key string, ttl time.Duration) (Lease, error)
}

// Membership gives the membership as this entry knows it.
type Membership interface {
	View() membership.View
	// HasOtherLeader reports that another live entry says that it holds the duty.
	HasOtherLeader() bool
}

// Work is what a holder of a duty does.
type Work interface {
	// Run works until ctx ends. An error gives the duty up.
	Run(ctx context.Context, holding *Leadership) error
}

// WorkFunc is a function that is the work of a duty.
type WorkFunc func(ctx context.Context, holding *Leadership) error

// Run calls the function.
func (work WorkFunc) Run(ctx context.Context, holding *Leadership) error { return work(ctx, holding) }

// Settings describe a duty.
type Settings struct {
	// Duty names it, and Prefix with the name is the lease's key.
	Duty   string
	Prefix string
	// Self is the name of this entry.
	Self string
	// TTL is the lease time, in whole seconds.
	TTL time.Duration
}

// renewalsPerTTL is how often a lease is renewed in its time, so that two may fail
// before the margin at its end is reached.
const renewalsPerTTL = 4

// LeaseTTL is the default lease time. It costs a holder a call every 3.75 s, and a
// duty stands still for about 20 s when its holder dies.
const LeaseTTL = 15 * time.Second

// Elector acquires a duty when it is this entry's turn and runs its work while it is held.
type Elector struct {
	settings Settings
	leases   Leases
	members    Membership
	work     Work
	// leadership is the last holding, nil before the first.
	leadership *rcu.Cell[*Leadership]
}

// NewElector returns a keeper of a duty.
func NewElector(settings Settings, leases Leases, views Membership, work Work) *Elector {
	return &Elector{settings: settings, leases: leases, members: views, work: work, leadership: rcu.New[*Leadership](nil)}
}

// IsLeader reports whether this entry holds the duty now.
func (elector *Elector) IsLeader() bool {
	holding := elector.leadership.Load()
	return holding != nil && holding.Held()
}

// Run holds the duty whenever it can until ctx ends, and passes the errors of leases and of the work to report.
func (elector *Elector) Run(ctx context.Context, report func(error)) error {
	for {
		rank, candidate := elector.rank()
		// The jitter keeps entries from asking the service all at once.
		patience := elector.settings.TTL
		if candidate {
			patience = duty.AcquireDelay(rank, elector.settings.TTL)
		}
		timer := time.NewTimer(patience/2 + rand.N(patience/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		// Asking for a lease that another entry holds takes three calls.
		if !candidate || elector.members.HasOtherLeader() {
			continue
		}
		if err := elector.Lead(ctx); err != nil {
			report(fault.Wrap(err, step, elector.settings.Duty))
		}
	}
}

// Lead acquires the lease, if it is free, and runs the work until the duty ends.
//
// It returns once the work has returned.
func (elector *Elector) Lead(ctx context.Context) error {
	asked := time.Now()
	lease, err := elector.leases.Acquire(ctx, elector.settings.Prefix+elector.settings.Duty, elector.settings.TTL)
	if lease == nil || err != nil {
		return err
	}
	holding := NewLeadership(duty.NewLease(lease.Number(), asked, time.Now(), lease.TTL()))
	elector.leadership.Store(holding)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- elector.work.Run(ctx, holding) }()
	running, err := elector.renewWhileLeading(ctx, lease, holding, ended)
	holding.end()
	cancel()
	if running {
		err = errors.Join(err, <-ended)
	}
	// A revoke that fails costs nothing but the time until the lease expires.
	revoking, cancel := context.WithTimeout(context.WithoutCancel(ctx), elector.settings.TTL)
	defer cancel()
	_ = lease.Revoke(revoking)
	return err
}

// renewWhileLeading renews the lease until the work ends, the lease is lost, or another entry should have the duty.
//
// It reports whether the work still runs.
func (elector *Elector) renewWhileLeading(ctx context.Context, lease Lease, holding *Leadership, ended <-chan error) (running bool, err error) {
	ticker := time.NewTicker(lease.TTL() / renewalsPerTTL)
	defer ticker.Stop()
	lapse := time.NewTimer(time.Until(holding.Until()))
	defer lapse.Stop()
	renewed := make(chan error, 1)
	renewing := false
	for {
		select {
		case err := <-ended:
			return false, err
		case <-ctx.Done():
			return true, nil
		case <-lapse.C:
			if !holding.Held() {
				return true, ErrLost
			}
			lapse.Reset(time.Until(holding.Until()))
		case <-ticker.C:
			if _, candidate := elector.rank(); !candidate {
				return true, nil
			}
			if renewing {
				continue
			}
			// The renewal has a goroutine of its own, so that one that hangs
			// does not keep the lapse from being noticed.
			renewing = true
			go func() { renewed <- elector.renew(ctx, lease, holding) }()
		case err := <-renewed:
			renewing = false
			if errors.Is(err, ErrLost) {
				return true, err
			}
		}
	}
}

func (elector *Elector) renew(ctx context.Context, lease Lease, holding *Leadership) error {
	asked := time.Now()
	if err := lease.KeepAlive(ctx); err != nil {
		return err
	}
	holding.renew(asked, lease.TTL())
	return nil
}

func (elector *Elector) rank() (int, bool) {
	return duty.Rank(elector.members.View(), elector.settings.Duty, elector.settings.Self)
}
