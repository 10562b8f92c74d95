package duty

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// KVLeases grants leases by creating keys in the key-value service.
type KVLeases struct {
	client *kv.Client
	holder string
}

// NewKVLeases returns the leases of a client; holder is the name that is stored as the value of each key.
func NewKVLeases(client *kv.Client, holder string) *KVLeases {
	return &KVLeases{client: client, holder: holder}
}

// Acquire grants a lease and creates the key, which the service deletes when the lease ends. It returns nil
// without an error while another holder has the key.
func (leases *KVLeases) Acquire(ctx context.Context, key string, ttl time.Duration) (Lease, error) {
	lease, err := leases.client.Grant(ctx, ttl)
	if err != nil {
		return nil, err
	}
	revision, err := lease.Create(ctx, key, []byte(leases.holder))
	if err == nil {
		return &kvLease{Lease: lease, revision: revision}, nil
	}
	// The revocation also deletes a key that was created although the response was
	// lost. If it fails, the only cost is the time until the lease expires.
	_ = lease.Revoke(context.WithoutCancel(ctx))
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil
	}
	return nil, err
}

// kvLease is a lease with the revision at which its key was created.
type kvLease struct {
	*kv.Lease
	revision int64
}

// FencingNumber returns the revision at which the key was created.
func (lease *kvLease) FencingNumber() int64 { return lease.revision }

// KeepAlive renews the lease, or returns [ErrLeaseLost] if the service no longer has it.
func (lease *kvLease) KeepAlive(ctx context.Context) error {
	err := lease.Lease.KeepAlive(ctx)
	if errors.Is(err, kv.ErrLeaseLost) {
		return ErrLeaseLost
	}
	return err
}
