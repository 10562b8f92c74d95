package kv

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// clockMarginDivisor is the part of a lease's time that its holder leaves unused, as a divisor.
// It covers the difference in rate between the holder's clock and the service's.
const clockMarginDivisor = 10

// Lease is a right that expires unless its holder renews it.
type Lease struct {
	client *Client
	id     int64
	ttl    time.Duration
	heldUntil  *rcu.Cell[time.Time]
}

// Grant asks for a lease of ttl, in whole seconds.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (*Lease, error) {
	asked := time.Now()
	var response leaseResponse
	request := leaseRequest{TTL: int64(ttl / time.Second)}
	if err := client.call(ctx, "/v3/lease/grant", request, &response); err != nil {
		return nil, err
	}
	granted := time.Duration(response.TTL) * time.Second
	return &Lease{client: client, id: response.ID, ttl: granted, heldUntil: rcu.New(holdDeadline(asked, granted))}, nil
}

// holdDeadline counts from before the call, since the service counts from when it served it.
func holdDeadline(asked time.Time, ttl time.Duration) time.Time {
	return asked.Add(ttl - ttl/clockMarginDivisor)
}

// ID returns the service's number of the lease.
func (lease *Lease) ID() int64 { return lease.id }

// TTL returns the time that the service granted, which each renewal grants again.
func (lease *Lease) TTL() time.Duration { return lease.ttl }

// Create stores the value if the key is absent, and the service removes it when the lease ends.
//
// It returns the new revision, or a [*ConflictError] with the current item.
func (lease *Lease) Create(ctx context.Context, key string, value []byte) (int64, error) {
	return lease.client.put(ctx, putRequest{Key: []byte(key), Value: value, Lease: lease.id}, 0)
}

// Held reports whether the holder may still act, by its own monotonic clock with a margin.
func (lease *Lease) Held() bool { return time.Now().Before(lease.heldUntil.Load()) }

// KeepAlive renews the lease once; [ErrLeaseLost] means that it cannot be renewed any more.
func (lease *Lease) KeepAlive(ctx context.Context) error {
	asked := time.Now()
	var response keepAliveResponse
	if err := lease.client.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: lease.id}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		lease.heldUntil.Store(asked)
		return ErrLeaseLost
	}
	until := holdDeadline(asked, time.Duration(response.Result.TTL)*time.Second)
	lease.heldUntil.Update(func(current time.Time) time.Time {
		if current.After(until) {
			return current
		}
		return until
	})
	return nil
}

// Keep renews the lease until ctx ends or the lease is lost.
func (lease *Lease) Keep(ctx context.Context) error {
	ticker := time.NewTicker(lease.ttl / 3)
	defer ticker.Stop()
	for lease.Held() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := lease.KeepAlive(ctx); errors.Is(err, ErrLeaseLost) {
			return err
		}
	}
	return ErrLeaseLost
}

// Revoke gives the lease up; its holder stops acting before the service is told.
func (lease *Lease) Revoke(ctx context.Context) error {
	lease.heldUntil.Store(time.Now())
	return lease.client.call(ctx, "/v3/lease/revoke", leaseRequest{ID: lease.id}, &struct{}{})
}
