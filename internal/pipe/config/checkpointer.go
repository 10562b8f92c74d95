package config

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/rosemaryspar/rosemaryspar/internal/core/pause"
	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// Store is the part of a key-value service that writing a checkpoint needs.
type Store interface {
	Reader
	// Put stores the value if the key's revision is the given one, 0 for an
	// absent key, and returns the new revision or a [*kv.ConflictError].
	Put(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	Delete(ctx context.Context, from, end string) error
}

// Truncater shortens the log.
type Truncater interface {
	Truncate(ctx context.Context, through int64) error
}

// Lease is the right to write a checkpoint for some time.
type Lease interface {
	Held() bool
	Revoke(ctx context.Context) error
}

// Leases hands out the right to one entry at a time.
type Leases interface {
	// Acquire returns nil when another entry has the lease.
	Acquire(ctx context.Context) (Lease, error)
}

// CheckpointPolicy say when a checkpoint is due and what it keeps.
type CheckpointPolicy struct {
	// Entries is how many changes after the newest checkpoint make one due.
	Entries int64
	// RetainEntries is how many entries before a checkpoint stay in the log, for repeats
	// of changes whose answers were lost.
	RetainEntries int64
	// PartBytes bounds a part with more than one document, in bytes.
	PartBytes int
	// Period is the time between looks at whether a checkpoint is due.
	Period time.Duration
}

// DefaultCheckpointPolicy returns the limits for 11,000 changes a day: about 11
// checkpoints a day, and repeats recognised for at least 30 minutes.
func DefaultCheckpointPolicy() CheckpointPolicy {
	return CheckpointPolicy{Entries: 1000, RetainEntries: 256, PartBytes: 500_000, Period: time.Minute}
}

// Checkpointer writes checkpoints and truncates the log.
type Checkpointer struct {
	store  Store
	log    Truncater
	leases Leases
	sets   SetSource
	layout Layout
	limits CheckpointPolicy
	// newest is the revision of the newest checkpoint known here.
	newest *rcu.Cell[int64]
}

// NewCheckpointer returns a checkpointer of the sets in force at this entry.
func NewCheckpointer(store Store, log Truncater, leases Leases, sets SetSource, layout Layout, limits CheckpointPolicy) *Checkpointer {
	return &Checkpointer{store: store, log: log, leases: leases, sets: sets, layout: layout, limits: limits, newest: rcu.New(int64(0))}
}

// Run writes checkpoints when they are due until ctx ends, and passes each outcome to report.
func (checkpointer *Checkpointer) Run(ctx context.Context, report func(revision int64, err error)) error {
	// The jitter keeps entries from asking the service all at once.
	period := checkpointer.limits.Period
	for pause.For(ctx, period/2+rand.N(period)) == nil {
		if revision, err := checkpointer.Checkpoint(ctx); revision > 0 || err != nil {
			report(revision, err)
		}
	}
	return nil
}

// Checkpoint writes one if it is due and no other entry does, and returns its revision, 0 for none.
func (checkpointer *Checkpointer) Checkpoint(ctx context.Context) (int64, error) {
	set := checkpointer.sets.Set()
	due, err := checkpointer.due(ctx, set)
	if !due || err != nil {
		return 0, err
	}
	lease, err := checkpointer.leases.Acquire(ctx)
	if lease == nil || err != nil {
		return 0, err
	}
	defer func() { _ = lease.Revoke(context.WithoutCancel(ctx)) }()
	// The last holder may have finished between the look and the lease.
	due, err = checkpointer.due(ctx, set)
	if !due || err != nil {
		return 0, err
	}
	if err := checkpointer.write(ctx, lease, set); err != nil {
		return 0, err
	}
	checkpointer.newest.Store(set.Revision())
	return set.Revision(), checkpointer.clean(ctx, lease, set.Revision())
}

// due asks the service only when, by what is known here, a checkpoint may be due.
func (checkpointer *Checkpointer) due(ctx context.Context, set config.Set) (bool, error) {
	if set.Revision()-checkpointer.newest.Load() < checkpointer.limits.Entries {
		return false, nil
	}
	newest, err := newestCheckpoint(ctx, checkpointer.store, checkpointer.layout)
	if err != nil {
		return false, err
	}
	checkpointer.newest.Store(newest.Revision)
	return set.Revision()-newest.Revision >= checkpointer.limits.Entries, nil
}

// write stores all parts and then the marker that makes them valid.
func (checkpointer *Checkpointer) write(ctx context.Context, lease Lease, set config.Set) error {
	checkpoint := checkpoint{Revision: set.Revision(), Attempt: uuid.NewString()}
	parts, err := split(set, checkpoint.Attempt, checkpointer.limits.PartBytes)
	if err != nil {
		return err
	}
	for number, part := range parts {
		if !lease.Held() {
			return ErrLeaseLost
		}
		if _, err := checkpointer.store.Put(ctx, checkpointer.layout.part(checkpoint, number), part, 0); err != nil {
			return err
		}
	}
	checkpoint.Parts = len(parts)
	marker, err := json.Marshal(checkpoint)
	if err != nil {
		return err
	}
	if !lease.Held() {
		return ErrLeaseLost
	}
	_, err = checkpointer.store.Put(ctx, checkpointer.layout.marker(checkpoint.Revision), marker, 0)
	var conflict *kv.ConflictError
	if errors.As(err, &conflict) {
		// Another attempt at the same revision is complete, and its set is the same.
		return nil
	}
	return err
}

// clean truncates the log and deletes older checkpoints, markers before parts.
func (checkpointer *Checkpointer) clean(ctx context.Context, lease Lease, revision int64) error {
	layout := checkpointer.layout
	steps := []func() error{
		func() error {
			return checkpointer.log.Truncate(ctx, max(0, revision-checkpointer.limits.RetainEntries))
		},
		func() error { return checkpointer.store.Delete(ctx, layout.marker(0), layout.marker(revision)) },
		func() error { return checkpointer.store.Delete(ctx, layout.parts(0), layout.parts(revision)) },
	}
	for _, step := range steps {
		if !lease.Held() {
			return ErrLeaseLost
		}
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}
