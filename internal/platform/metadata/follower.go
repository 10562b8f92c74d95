package metadata

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

// maxFollowGap is the time since the last read up to which a [Follower] asks for the changes. After a longer
// time, the changes of items that are written every second are longer than the items.
const maxFollowGap = 3 * time.Second

// Source reads the items with a prefix, and their changes.
type Source interface {
	// List returns the items whose keys have the prefix, and a revision up to which they have all changes.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch returns the changes after a revision, and the revision up to which these are all. It waits up to
	// wait for the first one. The error is [ErrCompacted] if the store no longer has them.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (events []Event, revision int64, err error)
}

// Follower reads the items with a prefix. After the first read it asks only for the changes, which takes one
// call whatever the number of items. One thread may use it at a time.
type Follower struct {
	source  Source
	prefix  string
	wait    time.Duration
	listing *rcu.Cell[Listing]
	readAt  time.Time
}

// NewFollower returns a follower of the items with a prefix, whose reads wait up to wait for a change.
func NewFollower(source Source, prefix string, wait time.Duration) *Follower {
	return &Follower{source: source, prefix: prefix, wait: wait, listing: rcu.New(Listing{})}
}

// Read returns the items, which were the latest at some time after the call.
//
// A read of the changes that fails is followed by a read of all items, unless the store refused it: a store
// may discard its history, and may cut a call that waits.
func (follower *Follower) Read(ctx context.Context) (Listing, error) {
	startedAt := time.Now()
	listing, err := follower.follow(ctx, startedAt)
	var refused *RefusedError
	if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
		listing, err = follower.list(ctx)
	}
	if err != nil {
		return Listing{}, err
	}
	follower.readAt = startedAt
	follower.listing.Store(listing)
	return listing, nil
}

// follow returns the last listing with the changes since then, or reads all items if there is none.
func (follower *Follower) follow(ctx context.Context, now time.Time) (Listing, error) {
	listing := follower.listing.Load()
	if listing.Revision() == 0 || now.Sub(follower.readAt) > maxFollowGap {
		return follower.list(ctx)
	}
	events, revision, err := follower.source.Watch(ctx, follower.prefix, listing.Revision(), follower.wait)
	if err != nil {
		return Listing{}, err
	}
	return listing.WithEvents(events, revision), nil
}

func (follower *Follower) list(ctx context.Context) (Listing, error) {
	items, revision, err := follower.source.List(ctx, follower.prefix)
	if err != nil {
		return Listing{}, err
	}
	return NewListing(items, revision), nil
}
