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

// Store reads and writes checkpoints in the key-value service.
type Store interface {
	Reader
	// Put stores the value if the key's revision is the given one, 0 for an
	// absent key, and returns the new revision or a [*kv.ConflictError].
	Put(ctx context.Context, key string, value []byte, revision int64) (int64, error)
	// Delete removes the keys in [from, end).
	Delete(ctx context.Context, from, end string) error
}

// Truncater truncates the log.
type Truncater interface {
	// Truncate removes the entries up to and including through.
	Truncate(ctx context.Context, through int64) error
}

// Lease is the exclusive right to write a checkpoint until it expires.
type Lease interface {
	// Held reports whether the lease is still valid by this process's clock.
	Held() bool
	// Revoke ends the lease before it expires.
	Revoke(ctx context.Context) error
}

// Leases grants the lease to one entry at a time.
type Leases interface {
	// Acquire returns nil without an error while another entry has the lease.
	Acquire(ctx context.Context) (Lease, error)
}

// CheckpointPolicy configures when a checkpoint is due and what it retains.
type CheckpointPolicy struct {
	// Interval is how many changes after the latest checkpoint make the next one due.
	Interval int64
	// RetainEntries is how many entries before a checkpoint stay in the log, so that retries
	// of changes whose answers were lost are recognised.
	RetainEntries int64
	// PartBytes bounds the size of a part with more than one document, in bytes.
	PartBytes int
	// CheckPeriod is the mean time between checks of whether a checkpoint is due.
	CheckPeriod time.Duration
}

// DefaultCheckpointPolicy returns the policy for 11,000 changes a day: about 11 checkpoints a
// day, and retries recognised for at least 30 minutes.
func DefaultCheckpointPolicy() CheckpointPolicy {
	return CheckpointPolicy{Interval: 1000, RetainEntries: 256, PartBytes: 500_000, CheckPeriod: time.Minute}
}

// Checkpointer writes checkpoints of the configuration and truncates the log.
type Checkpointer struct {
	store  Store
	log    Truncater
	leases Leases
	sets   SetSource
	layout Layout
	policy CheckpointPolicy
	// latest is the revision of the latest checkpoint that this entry has read or written.
	latest *rcu.Cell[int64]
}

// NewCheckpointer returns a checkpointer that writes the sets in force at this entry.
func NewCheckpointer(store Store, log Truncater, leases Leases, sets SetSource, layout Layout, policy CheckpointPolicy) *Checkpointer {
	return &Checkpointer{store: store, log: log, leases: leases, sets: sets, layout: layout, policy: policy, latest: rcu.New(int64(0))}
}

// Run writes checkpoints when they are due until ctx ends.
//
// It calls report with the revision of each checkpoint (0 for none) and the error.
func (checkpointer *Checkpointer) Run(ctx context.Context, report func(revision int64, err error)) error {
	// The jitter prevents the entries from calling the key-value service at the same time.
	period := checkpointer.policy.CheckPeriod
	for pause.For(ctx, period/2+rand.N(period)) == nil {
		if revision, err := checkpointer.Checkpoint(ctx); revision > 0 || err != nil {
			report(revision, err)
		}
	}
	return nil
}

// Checkpoint writes a checkpoint if one is due and no other entry is writing one.
//
// It returns the revision of the checkpoint, 0 if none was written.
func (checkpointer *Checkpointer) Checkpoint(ctx context.Context) (int64, error) {
	set := checkpointer.sets.Set()
	due, err := checkpointer.isDue(ctx, set)
	if !due || err != nil {
		return 0, err
	}
	lease, err := checkpointer.leases.Acquire(ctx)
	if lease == nil || err != nil {
		return 0, err
	}
	defer func() { _ = lease.Revoke(context.WithoutCancel(ctx)) }()
	// The previous holder of the lease may have written a checkpoint since the check above.
	due, err = checkpointer.isDue(ctx, set)
	if !due || err != nil {
		return 0, err
	}
	if err := checkpointer.write(ctx, lease, set); err != nil {
		return 0, err
	}
	checkpointer.latest.Store(set.Revision())
	return set.Revision(), checkpointer.removeOlder(ctx, lease, set.Revision())
}

// isDue reports whether a checkpoint is due.
//
// It calls the key-value service only if a checkpoint is due according to the latest
// checkpoint revision in memory, which may be too low.
func (checkpointer *Checkpointer) isDue(ctx context.Context, set config.Set) (bool, error) {
	if set.Revision()-checkpointer.latest.Load() < checkpointer.policy.Interval {
		return false, nil
	}
	latest, err := latestCheckpoint(ctx, checkpointer.store, checkpointer.layout)
	if err != nil {
		return false, err
	}
	checkpointer.latest.Store(latest.Revision)
	return set.Revision()-latest.Revision >= checkpointer.policy.Interval, nil
}

// write stores all parts and then the marker that makes the checkpoint valid.
func (checkpointer *Checkpointer) write(ctx context.Context, lease Lease, set config.Set) error {
	checkpoint := checkpoint{Revision: set.Revision(), Attempt: uuid.NewString()}
	parts, err := split(set, checkpoint.Attempt, checkpointer.policy.PartBytes)
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
		// Another attempt has already written a complete checkpoint of the same revision and set.
		return nil
	}
	return err
}

// removeOlder truncates the log and deletes older checkpoints, markers before parts,
// so that a marker never refers to deleted parts.
func (checkpointer *Checkpointer) removeOlder(ctx context.Context, lease Lease, revision int64) error {
	layout := checkpointer.layout
	steps := []func() error{
		func() error {
			return checkpointer.log.Truncate(ctx, max(0, revision-checkpointer.policy.RetainEntries))
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
