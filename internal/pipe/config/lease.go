package config

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// leaseTTL is much longer than writing a checkpoint takes. A checkpoint of 2,500 documents has two parts.
const leaseTTL = 30 * time.Second

// KVLeases grants the checkpoint lease by means of a key in the key-value service.
type KVLeases struct {
	client *kv.Client
	key    string
	holder string
}

// NewKVLeases returns the leases of a key; holder is the name that is stored as the key's value.
func NewKVLeases(client *kv.Client, key, holder string) *KVLeases {
	return &KVLeases{client: client, key: key, holder: holder}
}

// Acquire creates the key, which the service deletes when the lease expires or is revoked.
//
// It returns nil without an error while another entry has the lease.
func (leases *KVLeases) Acquire(ctx context.Context) (Lease, error) {
	lease, err := leases.client.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	_, err = lease.Create(ctx, leases.key, []byte(leases.holder))
	if err == nil {
		return lease, nil
	}
	// If the revocation fails, the unused lease expires by itself.
	_ = lease.Revoke(context.WithoutCancel(ctx))
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil
	}
	return nil, err
}
