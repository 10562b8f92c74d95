package share_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
)

// restore returns the store to a state with a version of the configuration and a list of servers, at a lower revision.
func (store *store) restore(version int64, servers string) {
	store.version.Store(version)
	store.serverChanges.Store(0)
	store.servers.Store(servers)
	store.era.Update(func(era int64) int64 { return era + 1 })
}

// Guards against a configuration that goes back to an earlier version with the store, one that becomes too old for calls with keys
// until an operator writes again, servers that are lost until they have registered again, and a leaving server that gets work again. It guards
// too against entries that ignore what is written after the restore, at revisions that they have seen before.
func TestRestoreOfTheStoreTakesNothingBack(t *testing.T) {
	t.Parallel()
	for _, count := range []int{8, 40} {
		withFleet(t, count, func(t *testing.T, fleet *fleet) {
			fleet.store.version.Store(7)
			for range 30 {
				fleet.store.setServers("s1 s2 s3!")
			}
			time.Sleep(2 * time.Second)
			fleet.store.restore(5, "s1 s3")
			for step := range 14 {
				time.Sleep(500 * time.Millisecond)
				for name, shared := range fleet.shared {
					require.EqualValues(t, 7, shared.Routes().Version(), name)
					require.Less(t, shared.RoutesAge(), 2500*time.Millisecond, name)
					for _, server := range shared.Servers().OfService("s") {
						require.NotEqual(t, "s3", server.ID, name)
					}
					if step < 8 {
						require.Len(t, shared.Servers().OfService("s"), 2, "%s: s2 is kept until it registers again", name)
					}
				}
			}
			for name, shared := range fleet.shared {
				assert.Len(t, shared.Servers().OfService("s"), 1, "%s: s2 did not register again", name)
			}
			fleet.store.version.Store(8)
			fleet.store.setServers("s1 s4")
			time.Sleep(2 * time.Second)
			for name, shared := range fleet.shared {
				assert.EqualValues(t, 8, shared.Routes().Version(), name)
				assert.Len(t, shared.Servers().OfService("s"), 2, name)
			}
		})
	}
}

// Guards against an entry that missed a configuration and takes the older one of the restored store for the latest, although its
// peers have the newer one, or passes the older one on to them.
func TestEntryThatMissedAConfigurationGetsItAfterARestore(t *testing.T) {
	t.Parallel()
	withFleet(t, 8, func(t *testing.T, fleet *fleet) {
		cut := map[string]bool{"e3": true}
		fleet.partitioned.Store(cut)
		fleet.store.unavailable.Store(cut)
		fleet.store.version.Store(7)
		time.Sleep(2 * time.Second)
		fleet.store.restore(5, "s1")
		fleet.store.unavailable.Store(map[string]bool{})
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 5, fleet.shared["e3"].Routes().Version(), "all that the entry can know")
		fleet.partitioned.Store(map[string]bool{})
		time.Sleep(3 * time.Second)
		for name, shared := range fleet.shared {
			assert.EqualValues(t, 7, shared.Routes().Version(), name)
		}
	})
}

// Guards against a backup of before the first configuration, with which all calls with keys would fail.
func TestRestoredStoreWithoutAConfigurationKeepsTheCopy(t *testing.T) {
	t.Parallel()
	withFleet(t, 8, func(t *testing.T, fleet *fleet) {
		fleet.store.restore(0, "s1")
		time.Sleep(8 * time.Second)
		for name, shared := range fleet.shared {
			assert.EqualValues(t, 1, shared.Routes().Version(), name)
			assert.Less(t, shared.RoutesAge(), 3500*time.Millisecond, name)
		}
	})
}

// Guards against a peer of an earlier release, whose revisions belong to the first era, that replaces what was read since a restore,
// and against a revision of a restored store below that of the copy.
func TestCopiesOfTheFirstEraReplaceNone(t *testing.T) {
	shared := share.NewSharedState(clock{time.Now()}, codec{}, cluster.EntryState{Member: cluster.Member{Name: "e0"}})
	require.NoError(t, shared.MergeServers(900, time.Second, []byte("s1 s2")))
	require.NoError(t, shared.MergeServers(directory.Qualified(1, 3), 2*time.Second, []byte("s1")))
	require.NoError(t, shared.MergeServers(901, 3*time.Second, []byte("s1 s2 s3")))
	assert.Len(t, shared.Servers().All(), 1)
	require.NoError(t, shared.MergeRoutes(directory.Qualified(1, 3), time.Second, []byte("4")))
	require.NoError(t, shared.MergeRoutes(900, 2*time.Second, []byte("6")))
	assert.EqualValues(t, 6, shared.Routes().Version(), "the version decides on configurations")
}
