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

// Guards against an entry that reverts to an older configuration revision, or that does not become
// ready without the key-value service. A new entry starts while the service is suspended, and must get
// the configuration from its peers. The service then answers reads with data from before the latest
// changes, and ends its watches.
func TestEntryStartsWithoutTheStoreAndNeverGoesBack(t *testing.T) {
	fleet := newFleet(t, layout{})
	require.NoError(t, fleet.commit(t.Context(), 0, 1, 2000))
	require.NoError(t, fleet.commit(t.Context(), 0, 2, 3000))
	fleet.awaitRevision(t, 3, 0, 1, 2)
	staleReads := kv.Faults{ReadLag: 2}
	fleet.setStoreFaults(t, staleReads)
	signal(t, fleet.store, syscall.SIGSTOP)
	newEntry := fleet.addEntry(t)
	await(t, "the new entry is ready", func() bool { return operatorStatus(newEntry, "/readyz") == http.StatusOK })
	fleet.awaitRevision(t, 3, 3)
	assertOK(t, fleet.send(t, 3, "/v1/completions", completionBody("note tokens=4 ", false), ""))

	signal(t, fleet.store, syscall.SIGCONT)
	await(t, "the new entry has read the store", func() bool {
		configuration := fleet.configuration(t, 3)
		return configuration.AgeMs != nil && *configuration.AgeMs < awaitTimeout.Milliseconds()
	})
	fleet.setStoreFaults(t, kv.Faults{ReadLag: staleReads.ReadLag, Out: true})
	fleet.setStoreFaults(t, kv.Faults{})
	require.NoError(t, fleet.commit(t.Context(), 3, 3, 4000))
	fleet.awaitRevision(t, 4, 0, 1, 2, 3)
	for entry := range fleet.entries {
		stock, _ := fleet.configuration(t, entry).Set().Service("stock")
		assert.Equal(t, 4000, stock.TimeoutMs)
	}
}

// Guards against an entry that misses the changes accepted while it was suspended:
// it must have them in force within [inForceTimeout] after it resumes.
func TestFrozenEntryCatchesUp(t *testing.T) {
	// The entry is suspended for about 3 s.
	const changes, changeInterval = 10, 300 * time.Millisecond
	fleet := newFleet(t, layout{})
	signal(t, fleet.entries[2], syscall.SIGSTOP)
	ticker := time.NewTicker(changeInterval)
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
