package metadata_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// store is a metadata store in memory that can lose the answer to a change.
type store struct {
	revision int64
	leases   int64
	// lostLeases is the last lease that was granted before the store was restored from a backup.
	lostLeases int64
	keys       map[string]metadata.Item
	// losesNextAnswer makes the next change take effect but return an error.
	losesNextAnswer bool
	// onCommit is called after each change, if it is set.
	onCommit func()
}

func (store *store) Commit(_ context.Context, change metadata.Change) (int64, error) {
	for _, expected := range change.Expects {
		if item, ok := store.keys[expected.Key]; ok && expected.Revision == 0 {
			return 0, &metadata.ConflictError{Items: []metadata.Item{item}}
		}
	}
	store.revision++
	for _, key := range change.Removes {
		delete(store.keys, key)
	}
	for _, item := range change.Writes {
		item.Revision = store.revision
		store.keys[item.Key] = item
	}
	if store.onCommit != nil {
		store.onCommit()
	}
	if store.losesNextAnswer {
		store.losesNextAnswer = false
		return 0, errors.New("no answer")
	}
	return store.revision, nil
}

func (store *store) Grant(context.Context, time.Duration) (int64, time.Duration, error) {
	store.leases++
	return store.leases, 3 * time.Second, nil
}

func (store *store) IsLeaseLost(lease int64) bool { return lease <= store.lostLeases }

func (store *store) Get(_ context.Context, key string) (metadata.Item, int64, error) {
	return store.keys[key], store.revision, nil
}

func (store *store) KeepAlive(context.Context, int64) error { return metadata.ErrLeaseLost }

func (store *store) Revoke(ctx context.Context, lease int64) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if store.IsLeaseLost(lease) {
		return metadata.ErrLeaseLost
	}
	for key, item := range store.keys {
		if item.Lease == lease {
			store.revision++
			delete(store.keys, key)
		}
	}
	return nil
}

// Guards against two holders of a key at the same time, against fencing numbers that do not increase,
// and against a key that nobody can acquire because the answer to an earlier acquisition was lost.
func TestLeasesHandAKeyToOneHolderAtATime(t *testing.T) {
	store := &store{keys: map[string]metadata.Item{}}
	holderOne, holderTwo := metadata.NewLeases(store, "one"), metadata.NewLeases(store, "two")
	first, err := holderOne.Acquire(t.Context(), "k", time.Second)
	require.NoError(t, err)
	assert.Equal(t, 3*time.Second, first.TTL(), "the lifetime that the store granted")
	concurrent, err := holderTwo.Acquire(t.Context(), "k", time.Second)
	require.NoError(t, err)
	assert.Nil(t, concurrent)
	require.NoError(t, first.Revoke(t.Context()))
	second, err := holderTwo.Acquire(t.Context(), "k", time.Second)
	require.NoError(t, err)
	assert.Greater(t, second.FencingNumber(), first.FencingNumber())
	assert.ErrorIs(t, second.KeepAlive(t.Context()), duty.ErrLeaseLost)
	require.NoError(t, second.Revoke(t.Context()))
	store.losesNextAnswer = true
	_, err = holderOne.Acquire(t.Context(), "k", time.Second)
	require.Error(t, err)
	third, err := holderTwo.Acquire(t.Context(), "k", time.Second)
	require.NoError(t, err)
	require.NotNil(t, third, "the key is free after an acquisition whose answer was lost")
}

// Guards against a key that an entry takes and never releases because it is stopped before the store's answer arrives: no
// other entry could lead until the lease expires.
func TestAcquisitionThatIsCancelledLeavesNoKey(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	store := &store{keys: map[string]metadata.Item{}, losesNextAnswer: true, onCommit: cancel}
	_, err := metadata.NewLeases(store, "one").Acquire(ctx, "k", time.Second)
	require.Error(t, err)
	assert.Empty(t, store.keys)
}

// Guards against a duty without a leader until the restored lease of its last one ends, and against the removal of a key that
// another holder has taken meanwhile, or that has a lease of the same number.
func TestLeaseOfBeforeARestoreIsEnded(t *testing.T) {
	for holder, wantRemoved := range map[string]bool{"one": true, "two": false} {
		store := &store{keys: map[string]metadata.Item{}}
		lease, err := metadata.NewLeases(store, "one").Acquire(t.Context(), "k", time.Second)
		require.NoError(t, err)
		store.lostLeases = store.leases
		store.keys["k"] = metadata.Item{Key: "k", Value: []byte(holder), Revision: 9, Lease: 1}
		require.NoError(t, lease.Revoke(t.Context()))
		assert.Equal(t, wantRemoved, len(store.keys) == 0, holder)
	}
}
