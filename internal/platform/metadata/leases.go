package metadata

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// Store is the part of a metadata store that leases need.
type Store interface {
	// Commit applies a change and returns the store's new revision.
	Commit(ctx context.Context, change Change) (int64, error)
	// Grant creates a lease and returns its ID and the granted lifetime.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// KeepAlive renews a lease, or returns [ErrLeaseLost] if it has ended.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease, which removes its keys.
	Revoke(ctx context.Context, lease int64) error
}

// Leases acquires keys of the store for one holder; each key has at most one holder at a time.
type Leases struct {
	store Store
	// holder is the name of the holder, and the value of each acquired key.
	holder string
}

// NewLeases returns the leases of the holder with the given name.
func NewLeases(store Store, holder string) Leases { return Leases{store: store, holder: holder} }

// Acquire returns a lease on the key, or nil if another holder has the key.
func (leases Leases) Acquire(ctx context.Context, key string, ttl time.Duration) (duty.Lease, error) {
	id, granted, err := leases.store.Grant(ctx, ttl)
	if err != nil {
		return nil, err
	}
	revision, err := leases.store.Commit(ctx, Change{
		Expects: []Condition{{Key: key}},
		Writes:  []Item{{Key: key, Value: []byte(leases.holder), Lease: id}},
	})
	if err != nil {
		// The change may have taken effect although its answer was lost, or because ctx ended before the answer. Ending the
		// lease removes the key in that case. If this fails, the only cost is the time until the lease expires.
		_ = leases.store.Revoke(context.WithoutCancel(ctx), id)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return nil, nil
		}
		return nil, err
	}
	return &lease{store: leases.store, id: id, fencingNumber: revision, ttl: granted}, nil
}

// lease is a lease on one key; it implements [duty.Lease].
type lease struct {
	store         Store
	id            int64
	fencingNumber int64
	ttl           time.Duration
}

// FencingNumber returns the fencing number, which is the store's revision at which the key was created.
func (lease *lease) FencingNumber() int64 { return lease.fencingNumber }

// TTL returns the lifetime that the store granted.
func (lease *lease) TTL() time.Duration { return lease.ttl }

// KeepAlive renews the lease once, or returns [duty.ErrLeaseLost] if it has ended.
func (lease *lease) KeepAlive(ctx context.Context) error {
	err := lease.store.KeepAlive(ctx, lease.id)
	if errors.Is(err, ErrLeaseLost) {
		return duty.ErrLeaseLost
	}
	return err
}

// Revoke ends the lease, which removes the key.
func (lease *lease) Revoke(ctx context.Context) error { return lease.store.Revoke(ctx, lease.id) }
