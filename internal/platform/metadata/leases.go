package metadata

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
)

// Store is the part of a metadata store that leases need.
type Store interface {
	Commit(ctx context.Context, change Change) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	Keep(ctx context.Context, lease int64) error
	End(ctx context.Context, lease int64) error
}

// Leases hands out keys of the store to one holder at a time.
type Leases struct {
	store Store
	// holder is written as the value of each key.
	holder string
}

// NewLeases returns the leases of a holder.
func NewLeases(store Store, holder string) Leases { return Leases{store: store, holder: holder} }

// Acquire returns nil while another holder has the key.
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
		// The answer may be lost and the key taken; ending the lease frees it.
		_ = leases.store.End(ctx, id)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return nil, nil
		}
		return nil, err
	}
	return &lease{store: leases.store, id: id, number: revision, ttl: granted}, nil
}

// lease is the right to a key.
type lease struct {
	store  Store
	id     int64
	number int64
	ttl    time.Duration
}

// Number is the store's revision at which the key was created.
func (lease *lease) Number() int64 { return lease.number }

// TTL returns the time that the store granted.
func (lease *lease) TTL() time.Duration { return lease.ttl }

// KeepAlive renews the lease once.
func (lease *lease) KeepAlive(ctx context.Context) error {
	err := lease.store.Keep(ctx, lease.id)
	if errors.Is(err, ErrLeaseLost) {
		return duty.ErrLost
	}
	return err
}

// Revoke gives the lease up.
func (lease *lease) Revoke(ctx context.Context) error { return lease.store.End(ctx, lease.id) }
