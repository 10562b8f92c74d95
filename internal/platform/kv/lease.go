package kv

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// clockMarginDivisor divides a lease's TTL into the margin by which its holder stops acting before the
// lease expires. The margin covers the difference in rate between the holder's clock and the service's.
const clockMarginDivisor = 10

// Lease is a lease of the service, which expires unless its holder renews it.
type Lease struct {
	client *Client
	id     int64
	ttl    time.Duration
	// held is the time for which the holder may act.
	held *rcu.Cell[hold]
}

// Grant requests a lease with the given TTL, rounded down to whole seconds.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (*Lease, error) {
	sentAt := time.Now()
	var response leaseResponse
	request := leaseRequest{TTL: int64(ttl / time.Second)}
	if err := client.call(ctx, "/v3/lease/grant", request, &response); err != nil {
		return nil, err
	}
	granted := time.Duration(response.TTL) * time.Second
	return &Lease{client: client, id: response.ID, ttl: granted, held: rcu.New(hold{until: holdDeadline(sentAt, granted)})}, nil
}

// holdDeadline returns the time until which the holder may act on a lease that it requested at sentAt.
//
// The TTL counts from before the request, since the service counts it from when it serves the request.
func holdDeadline(sentAt time.Time, ttl time.Duration) time.Time {
	return sentAt.Add(ttl - ttl/clockMarginDivisor)
}

// hold is the time for which the holder of a lease may act. It is immutable.
type hold struct {
	until time.Time
	// ended reports that the lease was lost or given up, which no renewal revokes.
	ended bool
}

// withRenewal returns the hold after a renewal that lasts until a time. An earlier renewal that is answered late, or one
// that is answered after the lease has ended, changes nothing.
func (hold hold) withRenewal(until time.Time) hold {
	if !hold.ended && until.After(hold.until) {
		hold.until = until
	}
	return hold
}

// ID returns the ID that the service gave the lease.
func (lease *Lease) ID() int64 { return lease.id }

// TTL returns the lifetime that the service granted, which starts again with each renewal.
func (lease *Lease) TTL() time.Duration { return lease.ttl }

// Create stores the value if the key is absent; the service removes the key when the lease ends.
//
// It returns the new revision, or a [*ConflictError] with the current item.
func (lease *Lease) Create(ctx context.Context, key string, value []byte) (int64, error) {
	return lease.client.put(ctx, putRequest{Key: []byte(key), Value: value, Lease: lease.id}, 0)
}

// Held reports whether the holder may still act, by its own monotonic clock and with a margin.
func (lease *Lease) Held() bool { return time.Now().Before(lease.held.Load().until) }

// KeepAlive renews the lease once, or returns [ErrLeaseLost] if the service has ended it.
func (lease *Lease) KeepAlive(ctx context.Context) error {
	sentAt := time.Now()
	response := keepAliveResponse{id: lease.id}
	if err := lease.client.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: lease.id}, &response); err != nil {
		return err
	}
	if response.Result.TTL == 0 {
		lease.held.Store(hold{until: sentAt, ended: true})
		return ErrLeaseLost
	}
	deadline := holdDeadline(sentAt, time.Duration(response.Result.TTL)*time.Second)
	lease.held.Update(func(current hold) hold { return current.withRenewal(deadline) })
	return nil
}

// KeepAliveUntilLost renews the lease at each third of its TTL until ctx ends, or returns [ErrLeaseLost] when
// it is lost.
func (lease *Lease) KeepAliveUntilLost(ctx context.Context) error {
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

// Revoke ends the lease. [Lease.Held] returns false from before the service receives the call.
func (lease *Lease) Revoke(ctx context.Context) error {
	lease.held.Store(hold{until: time.Now(), ended: true})
	return lease.client.call(ctx, "/v3/lease/revoke", leaseRequest{ID: lease.id}, &revokeResponse{})
}
