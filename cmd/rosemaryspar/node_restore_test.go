package main_test

import (
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against entries that follow a restored store back: to an earlier configuration, to servers that have registered again since, to
// a lease that is lost, or to a second report of a window with other counts. Calls go on all the while, with no configuration
// written again for longer than the time that is allowed for a revocation.
func TestEntriesServeThroughARestoreOfTheStore(t *testing.T) {
	soak := newSoak(t, 0)
	soak.awaitAllServing()
	reports := func() bool { return soak.cloud.Windows() > 0 }
	serveUntil(soak, 20*time.Second, reports)
	require.True(t, reports(), "the leader reports usage")
	time.Sleep(100 * time.Millisecond)
	backupAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	soak.putConfiguration("k1", "k2")
	version := soak.configVersion
	serveUntil(soak, 20*time.Second, func() bool { return allHaveMetric(soak, "config_version", version) })
	serveUntil(soak, 2*time.Second, func() bool { return false })
	soak.takeFailures()
	soak.store.Restore(time.Since(backupAt))
	serveUntil(soak, soakRevokeTime+2*time.Second, func() bool {
		require.True(t, allHaveMetric(soak, "config_version", version), "an entry has an earlier configuration")
		return false
	})
	failures := soak.takeFailures()
	// The runners leave some calls without an answer, and those for orders are not sent again.
	maps.DeleteFunc(failures, func(failure soakFailure, _ int) bool {
		return strings.HasPrefix(failure.path, "/order/") && failure.status == http.StatusBadGateway
	})
	assert.Empty(t, failures, "calls that fail while the store is up")
	assert.True(t, slices.ContainsFunc(soak.readyAddresses, func(address string) bool { return hasMetric(t, address, "store_era", 1) }), "an entry has read the restored store")
	windows := soak.cloud.Windows()
	soak.rewriteConfiguration()
	soak.putConfiguration("k1", "k2")
	serveUntil(soak, 20*time.Second, func() bool {
		return allHaveMetric(soak, "config_version", soak.configVersion) && soak.cloud.Windows() > windows+1
	})
	assert.True(t, allHaveMetric(soak, "config_version", soak.configVersion), "what is written after the restore")
	assert.Greater(t, soak.cloud.Windows(), windows+1, "a leader of the new era reports usage")
	assert.Empty(t, soak.cloud.Conflicts())
	soak.reportViolations()
}

// serveUntil sends calls to all entries until done returns true, at most for a time.
func serveUntil(soak *soak, limit time.Duration, done func() bool) {
	for started := time.Now(); time.Since(started) < limit && !done(); {
		for entry := range soakEntries {
			soak.call(entry, entry)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// allHaveMetric reports whether a metric of all entries has a value.
func allHaveMetric(soak *soak, name string, value int) bool {
	return !slices.ContainsFunc(soak.readyAddresses, func(address string) bool { return !hasMetric(soak.t, address, name, value) })
}

// hasMetric reports whether a metric of the entry at a readiness address has a value.
func hasMetric(t *testing.T, address, name string, value int) bool {
	found := regexp.MustCompile(fmt.Sprint("(?m)^rosemaryspar_", name, " (.*)$")).FindStringSubmatch(scrape(t, address))
	return found != nil && found[1] == strconv.Itoa(value)
}
