package main_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
)

// Guards P7 when an entry starts while the key-value service stands still, and
// the service then serves reads from before the newest changes and drops its
// watches: the entry gets the configuration from its peers, and none goes back.
func TestEntryStartsWithoutTheStoreAndNeverGoesBack(t *testing.T) {
	fleet := newFleet(t, layout{})
	require.NoError(t, fleet.commit(t.Context(), 0, 1, 2000))
	require.NoError(t, fleet.commit(t.Context(), 0, 2, 3000))
	fleet.awaitRevision(t, 3, 0, 1, 2)
	stale := kv.Faults{ReadLag: 2}
	fleet.setStoreFaults(t, stale)
	signal(t, fleet.store, syscall.SIGSTOP)
	started := fleet.addEntry(t)
	await(t, "the new entry is ready", func() bool { return status(started, "/readyz") == http.StatusOK })
	fleet.awaitRevision(t, 3, 3)
	assertOK(t, fleet.send(t, 3, "/v1/completions", draft("note tokens=4 ", false), ""))

	signal(t, fleet.store, syscall.SIGCONT)
	await(t, "the new entry has read the store", func() bool {
		configuration := fleet.configuration(t, 3)
		return configuration.AgeMs != nil && *configuration.AgeMs < eventually.Milliseconds()
	})
	fleet.setStoreFaults(t, kv.Faults{ReadLag: stale.ReadLag, Out: true})
	fleet.setStoreFaults(t, kv.Faults{})
	require.NoError(t, fleet.commit(t.Context(), 3, 3, 4000))
	fleet.awaitRevision(t, 4, 0, 1, 2, 3)
	for entry := range fleet.entries {
		stock, _ := fleet.configuration(t, entry).Set().Service("stock")
		assert.Equal(t, 4000, stock.TimeoutMs)
	}
}

// Guards P7 when an entry is frozen while changes are accepted: it has them in
// force within the bound after it goes on.
func TestFrozenEntryCatchesUp(t *testing.T) {
	// The entry is frozen for about 3 s.
	const changes, pace = 10, 300 * time.Millisecond
	fleet := newFleet(t, layout{})
	signal(t, fleet.entries[2], syscall.SIGSTOP)
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for base := range int64(changes) {
		<-ticker.C
		require.NoError(t, fleet.commit(t.Context(), 0, base+1, int(2000+base)))
		fleet.awaitRevision(t, base+2, 0, 1)
	}
	signal(t, fleet.entries[2], syscall.SIGCONT)
	fleet.awaitRevision(t, changes+1, 2)
	assert.Equal(t, fleet.configuration(t, 0).Set(), fleet.configuration(t, 2).Set())
}
