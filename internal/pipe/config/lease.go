package config

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// leaseTTL is far above the time that a checkpoint takes, two parts at 2,500 documents.
const leaseTTL = 30 * time.Second

// KVLeases hands out the checkpoint lease by a key in the key-value service.
type KVLeases struct {
	client *kv.Client
	key    string
	holder string
}

// NewKVLeases returns the leases of a key for the holder of that name.
func NewKVLeases(client *kv.Client, key, holder string) *KVLeases {
	return &KVLeases{client: client, key: key, holder: holder}
}

// Acquire creates the key, which goes away with the lease.
func (leases *KVLeases) Acquire(ctx context.Context) (Lease, error) {
	lease, err := leases.client.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	_, err = lease.Create(ctx, leases.key, []byte(leases.holder))
	if err == nil {
		return lease, nil
	}
	// A revoke that fails costs nothing but the time until the lease expires.
	_ = lease.Revoke(context.WithoutCancel(ctx))
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil
	}
	return nil, err
}
