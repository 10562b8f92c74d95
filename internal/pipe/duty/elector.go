package duty

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
)

// stepDuty is the step in errors that an [Elector] reports.
const stepDuty = "duty"

// ErrLeaseLost is returned when a lease has expired or the service no longer has it.
var ErrLeaseLost = errors.New("duty: lease lost")

// Lease is a granted lease of a duty's key; its holder is the leader of the duty until the lease ends.
type Lease interface {
	// FencingNumber returns the fencing number: the revision of the key-value service at which the
	// lease's key was created.
	FencingNumber() int64
	// TTL returns the lease time that the service granted, and grants again with each renewal.
	TTL() time.Duration
	// KeepAlive renews the lease. It returns [ErrLeaseLost] if the lease can no longer be renewed.
	KeepAlive(ctx context.Context) error
	// Revoke ends the lease.
	Revoke(ctx context.Context) error
}

// lossReporter is a [Lease] that may be known to have ended before its time, since the service lost it.
type lossReporter interface {
	// IsLost reports whether the lease is known to have ended.
	IsLost() bool
}

// Leases grants the lease of each key to one holder at a time.
type Leases interface {
	// Acquire returns the lease of a key, or nil without an error while another holder has it.
	Acquire(ctx context.Context, key string, ttl time.Duration) (Lease, error)
}

// Membership provides the membership from the point of view of this entry.
type Membership interface {
	// View returns the membership.
	View() membership.View
	// HasOtherLeader reports whether another live entry claims to be the leader of the duty.
	HasOtherLeader() bool
}

// Work is the work of a duty.
type Work interface {
	// Run performs the work until ctx ends. Returning earlier, with or without an error, ends the leadership.
	Run(ctx context.Context, leadership *Leadership) error
}

// WorkFunc is a function that implements [Work].
type WorkFunc func(ctx context.Context, leadership *Leadership) error

// Run calls the function.
func (work WorkFunc) Run(ctx context.Context, leadership *Leadership) error {
	return work(ctx, leadership)
}

// Settings are the settings of an [Elector].
type Settings struct {
	// Duty is the name of the duty. The lease's key is Prefix followed by this name.
	Duty   string
	Prefix string
	// Self is the name of this entry.
	Self string
	// TTL is the lease time, in whole seconds.
	TTL time.Duration
	// ReleaseTime is the time for which a leader that ends tries to release its lease, [Settings.TTL] if it is 0.
	ReleaseTime time.Duration
}

// releaseTime returns the time for which a leader that ends tries to release its lease.
func (settings Settings) releaseTime() time.Duration {
	if settings.ReleaseTime > 0 {
		return settings.ReleaseTime
	}
	return settings.TTL
}

// renewalsPerTTL is the number of renewals in a lease time. With four, two in a row may
// fail before the margin at the end of the lease is reached.
const renewalsPerTTL = 4

// releaseInterval is the time between two attempts to release a lease.
const releaseInterval = 250 * time.Millisecond

// LeaseTTL is the default lease time. With it, a leader makes one call every 3.75 s, and
// a duty has no leader for about 20 s after its leader crashed.
const LeaseTTL = 15 * time.Second

// Elector tries to become the leader of a duty while this entry is a candidate, and runs the
// work while it is the leader.
type Elector struct {
	settings Settings
	leases   Leases
	members  Membership
	work     Work
	// leadership is the current or the last leadership, nil before the first.
	leadership *rcu.Cell[*Leadership]
}

// NewElector returns an elector for a duty.
func NewElector(settings Settings, leases Leases, members Membership, work Work) *Elector {
	return &Elector{settings: settings, leases: leases, members: members, work: work, leadership: rcu.New[*Leadership](nil)}
}

// IsLeader reports whether this entry is the leader of the duty now.
func (elector *Elector) IsLeader() bool {
	leadership := elector.leadership.Load()
	return leadership != nil && leadership.Held()
}

// Run leads the duty whenever this entry can acquire the lease, until ctx ends. It passes errors of the
// lease and of the work to report and then tries again; it always returns nil.
func (elector *Elector) Run(ctx context.Context, report func(error)) error {
	for {
		rank, candidate := elector.rank()
		// The jitter prevents several entries from calling the service at the same time.
		delay := elector.settings.TTL
		if candidate {
			delay = duty.AcquireDelay(rank, elector.settings.TTL)
		}
		timer := time.NewTimer(delay/2 + rand.N(delay/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		// An attempt to acquire a lease that another entry holds takes three calls to the service,
		// so there is none while another entry claims to be the leader, or has become a better candidate meanwhile.
		if !candidate || elector.members.HasOtherLeader() || !elector.isCandidate(rank) {
			continue
		}
		if err := elector.Lead(ctx); err != nil {
			report(fault.Wrap(err, stepDuty, elector.settings.Duty))
		}
	}
}

// errExpired reports that the leader must not act until it knows that its lease has not ended.
var errExpired = errors.New("duty: the lease was not renewed in time")

// Lead acquires the lease, if it is free, and runs the work until the leadership ends.
//
// It returns nil at once if another entry holds the lease, and otherwise once the work has returned. While the lease cannot
// be renewed in time, the work is stopped. It is run again, under the same fencing number, if a later renewal shows that the
// lease has not ended, as after an outage of the service that its leases outlast.
func (elector *Elector) Lead(ctx context.Context) error {
	requestedAt := time.Now()
	lease, err := elector.leases.Acquire(ctx, elector.settings.Prefix+elector.settings.Duty, elector.settings.TTL)
	if lease == nil || err != nil {
		return err
	}
	leadership := NewLeadership(duty.NewLease(lease.FencingNumber(), requestedAt, time.Now(), lease.TTL()))
	if reporter, ok := lease.(lossReporter); ok {
		leadership.isLost = reporter.IsLost
	}
	elector.leadership.Store(leadership)
	err = elector.workWhileLeading(ctx, lease, leadership)
	for errors.Is(err, errExpired) {
		if err = elector.awaitRenewal(ctx, lease, leadership); err == nil {
			err = elector.workWhileLeading(ctx, lease, leadership)
		}
	}
	leadership.end()
	if errors.Is(err, context.Canceled) {
		err = nil // The entry stops.
	}
	return errors.Join(err, elector.release(ctx, lease))
}

// release ends the lease, so that another entry can lead at once. The end of ctx does not stop it.
//
// It tries again until the service answers, for at most [Settings.ReleaseTime]: an outage may be one that leases outlast, and
// no entry could lead for a lease time after it.
func (elector *Elector) release(ctx context.Context, lease Lease) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), elector.settings.releaseTime())
	defer cancel()
	for {
		err := lease.Revoke(ctx)
		if err == nil {
			return nil
		}
		if pause.For(ctx, releaseInterval) != nil {
			return fmt.Errorf("the lease lasts until it expires, since it could not be released: %w", err)
		}
	}
}

// workWhileLeading runs the work and renews the lease until the work returns, ctx ends, the lease is lost or not renewed in
// time, or this entry is no longer a candidate.
func (elector *Elector) workWhileLeading(ctx context.Context, lease Lease, leadership *Leadership) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workDone := make(chan error, 1)
	go func() { workDone <- elector.work.Run(ctx, leadership) }()
	running, err := elector.renewWhileLeading(ctx, lease, leadership, workDone)
	cancel()
	if running {
		err = errors.Join(err, <-workDone)
	}
	return err
}

// awaitRenewal tries to renew the lease until that succeeds. It returns an error once the lease has ended, ctx has ended, or
// this entry is no longer a candidate.
func (elector *Elector) awaitRenewal(ctx context.Context, lease Lease, leadership *Leadership) error {
	ticker := time.NewTicker(lease.TTL() / renewalsPerTTL)
	defer ticker.Stop()
	for {
		err := elector.renew(ctx, lease, leadership)
		if err == nil || errors.Is(err, ErrLeaseLost) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if _, candidate := elector.rank(); !candidate {
			return ErrLeaseLost
		}
	}
}

// renewWhileLeading renews the lease until the work returns, ctx ends, the lease is lost, or this entry is
// no longer a candidate.
//
// The result running reports whether the work still runs.
func (elector *Elector) renewWhileLeading(ctx context.Context, lease Lease, leadership *Leadership, workDone <-chan error) (running bool, err error) {
	ticker := time.NewTicker(lease.TTL() / renewalsPerTTL)
	defer ticker.Stop()
	expiry := time.NewTimer(time.Until(leadership.Until()))
	defer expiry.Stop()
	renewed := make(chan error, 1)
	renewing := false
	for {
		select {
		case err := <-workDone:
			if errors.Is(err, ErrLeaseLost) && !leadership.Held() {
				return false, errExpired
			}
			return false, err
		case <-ctx.Done():
			return true, nil
		case <-expiry.C:
			if !leadership.Held() {
				return true, errExpired
			}
			expiry.Reset(time.Until(leadership.Until()))
		case <-ticker.C:
			if _, candidate := elector.rank(); !candidate {
				return true, nil
			}
			if renewing {
				continue
			}
			// The renewal runs in its own goroutine, so that the expiry of the lease
			// is detected while a renewal hangs.
			renewing = true
			go func() { renewed <- elector.renew(ctx, lease, leadership) }()
		case err := <-renewed:
			renewing = false
			if errors.Is(err, ErrLeaseLost) {
				return true, err
			}
		}
	}
}

// renew renews the lease once and extends the leadership.
func (elector *Elector) renew(ctx context.Context, lease Lease, leadership *Leadership) error {
	requestedAt := time.Now()
	if err := lease.KeepAlive(ctx); err != nil {
		return err
	}
	leadership.renew(requestedAt, lease.TTL())
	return nil
}

// isCandidate reports whether this entry is a candidate now, with at most the given rank.
func (elector *Elector) isCandidate(maxRank int) bool {
	rank, candidate := elector.rank()
	return candidate && rank <= maxRank
}

// rank returns the rank of this entry among the candidates, or false if it is not a candidate.
func (elector *Elector) rank() (int, bool) {
	return duty.Rank(elector.members.View(), elector.settings.Duty, elector.settings.Self)
}
