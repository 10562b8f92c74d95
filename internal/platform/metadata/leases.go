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
	// Revoke ends a lease, which removes its keys. It returns [ErrLeaseLost] if the store was restored from a backup since.
	Revoke(ctx context.Context, lease int64) error
	// IsLeaseLost reports whether the store is known to have been restored from a backup since a lease was granted.
	IsLeaseLost(lease int64) bool
	// Get returns the item of a key, with revision 0 if there is none, and the store's revision.
	Get(ctx context.Context, key string) (Item, int64, error)
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
		_ = leases.end(context.WithoutCancel(ctx), key, id)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return nil, nil
		}
		return nil, err
	}
	return &lease{leases: leases, key: key, id: id, fencingNumber: revision, ttl: granted}, nil
}

// end ends a lease on a key of this holder.
//
// A store that was restored from a backup may have the key still, under a lease whose number it may have granted to another
// holder since. The key alone is removed then, if it is this holder's.
func (leases Leases) end(ctx context.Context, key string, id int64) error {
	err := leases.store.Revoke(ctx, id)
	if !errors.Is(err, ErrLeaseLost) {
		return err
	}
	item, _, err := leases.store.Get(ctx, key)
	if err != nil || item.Revision == 0 || string(item.Value) != leases.holder {
		return err
	}
	_, err = leases.store.Commit(ctx, Change{Expects: []Condition{{Key: key, Revision: item.Revision}}, Removes: []string{key}})
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return nil // Another holder has the key by now.
	}
	return err
}

// lease is a lease on one key; it implements [duty.Lease].
type lease struct {
	leases        Leases
	key           string
	id            int64
	fencingNumber int64
	ttl           time.Duration
}

// FencingNumber returns the fencing number, which is the store's revision at which the key was created. It rises across
// restores of the store from a backup.
func (lease *lease) FencingNumber() int64 { return lease.fencingNumber }

// TTL returns the lifetime that the store granted.
func (lease *lease) TTL() time.Duration { return lease.ttl }

// KeepAlive renews the lease once, or returns [duty.ErrLeaseLost] if it has ended.
func (lease *lease) KeepAlive(ctx context.Context) error {
	err := lease.leases.store.KeepAlive(ctx, lease.id)
	if errors.Is(err, ErrLeaseLost) {
		return duty.ErrLeaseLost
	}
	return err
}

// IsLost reports whether the store is known to have been restored from a backup since the lease was granted.
func (lease *lease) IsLost() bool { return lease.leases.store.IsLeaseLost(lease.id) }

// Revoke ends the lease, which removes the key.
func (lease *lease) Revoke(ctx context.Context) error {
	return lease.leases.end(ctx, lease.key, lease.id)
}
