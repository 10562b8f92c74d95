package main_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
)

// The orders of the test. The time is real, since the entries are separate processes, so it is more than an order of this size needs.
const (
	rolloutSeconds = 12
	rolloutRunners = 4
)

// Guards against parts of a roll-out that work alone but are not connected in the process of an entry: a good version must be done, and
// then a bad one rolled back, with each answer the one to its call.
func TestRolloutsOfNodeProcesses(t *testing.T) {
	soak := newSoak(t, 0, "rollout")
	soak.awaitAllServing()
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := caller; ctx.Err() == nil; i++ {
				soak.call(caller, i%soakEntries)
			}
		})
	}
	assert.Contains(t, soak.rollOut("v2", false), `"done"`)
	for _, old := range soak.runners[:soakRunners] {
		soak.unregister(old)
		old.Crash()
	}
	assert.Contains(t, soak.rollOut("v3", true), `"rolled_back"`)
	stop()
	callers.Wait()
	soak.reportViolations()
	assert.Contains(t, scrape(t, soak.readyAddresses[0]), `rosemaryspar_rollout_answers_total{service="s",version="v2",result="sound"}`)
	assert.Contains(t, scrape(t, soak.readyAddresses[0]), `rosemaryspar_rollout_stops_total{service="s"`)
}

// rollOut orders a version, starts its runners, and returns the status at the end of the order.
func (soak *soak) rollOut(version string, failing bool) string {
	soak.store.Put("op/rollout/s", fmt.Appendf(nil, `{"Service":"s","To":%q,"DurationS":%d}`, version, rolloutSeconds))
	for range rolloutRunners {
		soak.runnersStarted++
		runner := platform.NewRunner(fmt.Sprint("i-", soak.runnersStarted), soak.runs)
		runner.SetVersion(version)
		runner.SetFailing(failing)
		soak.runners = append(soak.runners, runner)
		soak.store.Put("servers/"+runner.ID(), runner.Item("s", "a", "ready"))
	}
	status := ""
	require.Eventually(soak.t, func() bool {
		status = soak.value("status/rollout/s")
		return strings.Contains(status, version) && !strings.Contains(status, "running")
	}, (rolloutSeconds+8)*time.Second, 20*time.Millisecond, "the order of %s has no end", version)
	return status
}

// value returns the answer of the store for a key, with the value decoded.
func (soak *soak) value(key string) string {
	response, err := http.Get("http://" + soak.store.Address() + "/v1/kv-key?Key=" + key) //nolint:noctx // a stand-in of the test
	require.NoError(soak.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(soak.t, err)
	return itemValue(soak.t, content)
}

// itemValue returns the value of an item in the form in which the store answers, empty for none.
func itemValue(t *testing.T, content []byte) string {
	t.Helper()
	var item struct{ Value []byte }
	require.NoError(t, json.Unmarshal(content, &item))
	return string(item.Value)
}
