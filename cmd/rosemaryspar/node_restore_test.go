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

// backupMargin is the time from the writes that a backup has to the backup, and from there to those that it lacks. The store is told the
// age of the backup, which passes while the call is made, so the margin is more than a process waits for its turn on a busy machine. It is real
// time, since the entries are separate processes.
const backupMargin = 100 * time.Millisecond

// Guards against entries that follow a restored store back: to an earlier configuration, to servers that have registered again since, to
// a lease that is lost, or to a second report of a window with other counts. Calls go on all the while, with no configuration
// written again for longer than the time that is allowed for a revocation.
func TestEntriesServeThroughARestoreOfTheStore(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitAllServing()
	reports := func() bool { return deployment.cloud.Windows() > 0 }
	serveUntil(deployment, 20*time.Second, reports)
	require.True(t, reports(), "the leader reports usage")
	time.Sleep(backupMargin)
	backupAt := time.Now()
	time.Sleep(backupMargin)
	deployment.putConfiguration("k1", "k2")
	version := deployment.configVersion
	serveUntil(deployment, 20*time.Second, func() bool { return allHaveMetric(deployment, "config_version", version) })
	serveUntil(deployment, 2*time.Second, func() bool { return false }) // Windows that the backup lacks end and are reported.
	deployment.takeFailures()
	deployment.store.Restore(time.Since(backupAt))
	serveUntil(deployment, revokeTime+2*time.Second, func() bool {
		require.True(t, allHaveMetric(deployment, "config_version", version), "an entry has an earlier configuration")
		return false
	})
	failures := deployment.takeFailures()
	// The runners leave some calls without an answer, and those for orders are not sent again.
	maps.DeleteFunc(failures, func(failure callFailure, _ int) bool {
		return strings.HasPrefix(failure.path, "/order/") && failure.status == http.StatusBadGateway
	})
	assert.Empty(t, failures, "calls that fail while the store is up")
	assert.True(t, slices.ContainsFunc(deployment.readyAddresses, func(address string) bool { return hasMetric(t, address, "store_era", 1) }), "an entry has read the restored store")
	windows := deployment.cloud.Windows()
	deployment.rewriteConfiguration()
	deployment.putConfiguration("k1", "k2")
	serveUntil(deployment, 20*time.Second, func() bool {
		return allHaveMetric(deployment, "config_version", deployment.configVersion) && deployment.cloud.Windows() > windows+1
	})
	assert.True(t, allHaveMetric(deployment, "config_version", deployment.configVersion), "what is written after the restore")
	assert.Greater(t, deployment.cloud.Windows(), windows+1, "a leader of the new era reports usage")
	assert.Empty(t, deployment.cloud.Conflicts())
	deployment.reportViolations()
}

// serveUntil sends calls to all entries until done returns true, at most for a time.
func serveUntil(deployment *deployment, limit time.Duration, done func() bool) {
	for started := time.Now(); time.Since(started) < limit && !done(); {
		for entry := range deploymentEntries {
			deployment.call(entry, entry)
		}
		time.Sleep(10 * time.Millisecond) // Bounds the rate of the calls.
	}
}

// allHaveMetric reports whether a metric of all entries has a value.
func allHaveMetric(deployment *deployment, name string, value int) bool {
	return !slices.ContainsFunc(deployment.readyAddresses, func(address string) bool { return !hasMetric(deployment.t, address, name, value) })
}

// hasMetric reports whether a metric of the entry at a readiness address has a value.
func hasMetric(t *testing.T, address, name string, value int) bool {
	found := regexp.MustCompile(fmt.Sprint("(?m)^rosemaryspar_", name, " (.*)$")).FindStringSubmatch(scrape(t, address))
	return found != nil && found[1] == strconv.Itoa(value)
}
