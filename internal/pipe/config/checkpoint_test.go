package config_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	pipe "github.com/rosemaryspar/rosemaryspar/internal/pipe/config"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// observedStore counts the bytes written and read, and calls hooks before calls to the store.
type observedStore struct {
	kvlog.Store
	// hook is called before each write or delete, which fails with the error of hook if there is one.
	hook func() error
	// onGet, if not nil, is called before each read of a single key.
	onGet         func(key string)
	written, read atomic.Int64
}

func (store *observedStore) Put(ctx context.Context, key string, value []byte, revision int64) (int64, error) {
	if err := store.hook(); err != nil {
		return 0, err
	}
	store.written.Add(int64(len(key) + len(value)))
	return store.Store.Put(ctx, key, value, revision)
}

func (store *observedStore) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	if store.onGet != nil {
		store.onGet(key)
	}
	return store.Store.Get(ctx, key)
}

func (store *observedStore) Delete(ctx context.Context, from, end string) error {
	if err := store.hook(); err != nil {
		return err
	}
	return store.Store.Delete(ctx, from, end)
}

func (store *observedStore) Range(ctx context.Context, prefix, from string, limit int) (kv.Page, error) {
	page, err := store.Store.Range(ctx, prefix, from, limit)
	for _, item := range page.Items {
		store.read.Add(int64(len(item.Key) + len(item.Value)))
	}
	return page, err
}

func (store *observedStore) Watch(ctx context.Context, prefix string, revision int64, deliver func(kv.Event) error) error {
	return store.Store.Watch(ctx, prefix, revision, func(event kv.Event) error {
		store.read.Add(int64(len(event.Item.Key) + len(event.Item.Value)))
		return deliver(event)
	})
}

// noFault is a hook that lets every write succeed.
func noFault() error { return nil }

var policy = pipe.CheckpointPolicy{Interval: 4, RetainEntries: 1, PartBytes: 600, CheckPeriod: time.Minute}

func checkpointer(store kvlog.Store, client *kv.Client, entry *entry) *pipe.Checkpointer {
	return pipe.NewCheckpointer(store, kvlog.New(store, layout.LogPrefix()), pipe.NewKVLeases(client, layout.LeaseKey(), "entry"), entry, layout, policy)
}

// Guards against losing or reverting the configuration when the process crashes between two
// steps of a checkpoint.
func TestCheckpointCrashesAtEachStep(t *testing.T) {
	const steps = 7 // writes of 2 parts, the marker and the floor; deletes of entries, markers and parts
	for crash := 0; crash <= steps; crash++ {
		_, client := startService(t)
		entry := newEntry(client)
		commit := func(count int) {
			for range count {
				entry.commit(t, backend(int(entry.Set().Revision()), 1))
			}
		}
		commit(4)
		_, err := checkpointer(client, client, entry).Checkpoint(t.Context())
		require.NoError(t, err)
		commit(4)
		writes := 0
		store := &observedStore{Store: client, hook: func() error {
			if writes == crash {
				return errCrash
			}
			writes++
			return nil
		}}
		_, err = checkpointer(store, client, entry).Checkpoint(t.Context())
		require.Equal(t, crash, writes, "the number of steps before the crash")
		if crash < steps {
			require.ErrorIs(t, err, errCrash, "step %d", crash)
		} else {
			require.NoError(t, err)
		}
		commit(1)
		restarted := newEntry(client)
		restarted.load(t)
		assert.Equal(t, entry.Set().Change(), restarted.Set().Change(), "step %d", crash)
		commit(4)
		revision, err := checkpointer(client, client, entry).Checkpoint(t.Context())
		require.NoError(t, err)
		assert.Equal(t, int64(13), revision, "step %d", crash)
		restarted = newEntry(client)
		restarted.load(t)
		assert.Equal(t, entry.Set().Change(), restarted.Set().Change(), "step %d", crash)
		floor, err := restarted.log.Floor(t.Context())
		require.NoError(t, err)
		assert.Equal(t, int64(12), floor)
	}
}

// Guards against an entry that is paused beyond the end of its lease and destroys a newer
// checkpoint when it continues.
func TestPausedLeaseHolderDamagesNothing(t *testing.T) {
	// In even turns, no change is committed during the pause, so the other checkpoint has the same revision.
	for turn := range 14 {
		pause, changes := turn/2, 4*(turn%2)
		server, client := startService(t)
		entry := newEntry(client)
		for number := range 4 {
			entry.commit(t, backend(number, 1))
		}
		writes := 0
		store := &observedStore{Store: client}
		store.hook = func() error {
			if writes == pause {
				for number := range changes {
					entry.commit(t, backend(number, 2))
				}
				// The second checkpointer uses a lease of another key, as if the first lease had expired.
				otherLeases := pipe.NewKVLeases(client, layout.LeaseKey()+"-2", "other")
				_, err := pipe.NewCheckpointer(client, entry.log, otherLeases, entry, layout, policy).Checkpoint(t.Context())
				require.NoError(t, err)
			}
			writes++
			return nil
		}
		_, _ = checkpointer(store, client, entry).Checkpoint(t.Context())
		restarted := newEntry(client)
		restarted.load(t)
		assert.Equal(t, entry.Set().Change(), restarted.Set().Change(), "pause at step %d", pause)
		assert.Empty(t, server.State().Items(layout.LeaseKey(), ""), "the lease key is deleted")
	}
}

// Guards against an entry that cannot start because a newer checkpoint replaces the one that
// it is reading.
func TestLoadWhileTheCheckpointIsReplaced(t *testing.T) {
	_, client := startService(t)
	entry := newEntry(client)
	replaceCheckpoint := func() {
		for number := range 4 {
			entry.commit(t, backend(number, int(entry.Set().Revision())+1))
		}
		revision, err := checkpointer(client, client, entry).Checkpoint(t.Context())
		require.NoError(t, err)
		require.Equal(t, entry.Set().Revision(), revision)
	}
	replaceCheckpoint()
	var once sync.Once
	// The first key that is read with Get is the first part of the checkpoint.
	restarted := newEntry(&observedStore{Store: client, hook: noFault, onGet: func(string) { once.Do(replaceCheckpoint) }})
	restarted.load(t)
	assert.Equal(t, int64(8), restarted.Set().Revision())
	assert.Equal(t, entry.Set().Change(), restarted.Set().Change())
}

// Guards against checkpoints written by two entries at once, and written although none is due.
func TestCheckpointOnlyWhenDueAndAlone(t *testing.T) {
	server, client := startService(t)
	entry := newEntry(client)
	for number := range 3 {
		entry.commit(t, backend(number, 1))
	}
	calls := server.Calls()
	revision, err := checkpointer(client, client, entry).Checkpoint(t.Context())
	require.NoError(t, err)
	assert.Zero(t, revision)
	assert.Equal(t, calls, server.Calls(), "no checkpoint is due, so the service is not called")
	entry.commit(t, backend(3, 1))
	lease, err := pipe.NewKVLeases(client, layout.LeaseKey(), "other").Acquire(t.Context())
	require.NoError(t, err)
	revision, err = checkpointer(client, client, entry).Checkpoint(t.Context())
	require.NoError(t, err)
	assert.Zero(t, revision, "another entry holds the lease")
	require.NoError(t, lease.Revoke(t.Context()))
	revision, err = checkpointer(client, client, entry).Checkpoint(t.Context())
	require.NoError(t, err)
	assert.Equal(t, int64(4), revision)
}

// Guards against changes that write or transfer all documents instead of the changed ones.
func TestBytesPerChange(t *testing.T) {
	const documents, changes, maxBytes = 420, 50, 1024
	_, client := startService(t)
	store := &observedStore{Store: client, hook: noFault}
	entry := newEntry(store)
	var initialBackends []config.Backend
	for number := range documents {
		initialBackends = append(initialBackends, backend(number, 1))
	}
	entry.commit(t, initialBackends...)
	tail, err := entry.log.Read(t.Context(), 2)
	require.NoError(t, err)
	store.written.Store(0)
	store.read.Store(0)
	for number := range changes {
		entry.commit(t, backend(number, 2))
	}
	written, readByWriter := store.written.Load()/changes, store.read.Swap(0)/changes
	require.ErrorIs(t, entry.log.Follow(t.Context(), tail, func(entry kvlog.Entry) error {
		if entry.Number == 1+changes {
			return errCrash
		}
		return nil
	}), errCrash)
	readByFollower := store.read.Load() / changes
	t.Logf("bytes per change of %d documents: %d written, %d read by the writer, %d read by each entry", documents, written, readByWriter, readByFollower)
	assert.Less(t, written, int64(maxBytes))
	assert.Less(t, readByWriter, int64(maxBytes))
	assert.Less(t, readByFollower, int64(maxBytes))
}
