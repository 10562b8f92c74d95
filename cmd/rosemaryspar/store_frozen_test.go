package main_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
)

// Guards against an order that is reported as not run but runs, or that runs twice, when the key-value
// service is suspended. The order must be refused as not run by its deadline, and run once when it is
// repeated later. Requests that need no booking record must not be affected.
func TestFrozenStoreHoldsUpOrdersOnly(t *testing.T) {
	fleet := newFleet(t, layout{orderTimeout: 2 * time.Second})
	signal(t, fleet.store, syscall.SIGSTOP)
	const key = "frozen"
	sent := time.Now()
	order := fleet.sendAsync(t, 0, "/services/deposit/orders", key, key)
	for entry := range fleet.entries {
		assertOK(t, fleet.send(t, entry, "/v1/completions", completionBody("note tokens=4 ", true), ""))
		assertOK(t, fleet.send(t, entry, "/services/stock/lace", "V-17", ""))
	}
	refused := <-order
	assert.Less(t, time.Since(sent), 3*time.Second, "the order was not refused within its timeout of 2 s and a margin of 1 s")
	assert.Equal(t, http.StatusServiceUnavailable, refused.status, string(refused.body))
	assert.Equal(t, "NotRun", refused.ran)
	assert.Equal(t, "0", fleet.runCount(t, key))

	signal(t, fleet.store, syscall.SIGCONT)
	executed := fleet.sendUntilAnswered(t, 1, key)
	assert.Equal(t, "POST /orders "+runner.Text(key, 0, 4), string(executed.body))
	assert.Equal(t, executed, fleet.sendUntilAnswered(t, 0, key))
	assert.Equal(t, "1", fleet.runCount(t, key))
}

// sendUntilAnswered sends an order again until it is answered with status 200. A call without a complete
// answer fails the test: earlier attempts may be refused, but must not start an answer of success.
func (fleet *fleet) sendUntilAnswered(t *testing.T, entry int, key string) answer {
	t.Helper()
	var got answer
	var err error
	await(t, "the order is answered with status 200", func() bool {
		got, err = fleet.trySend(t.Context(), entry, "/services/deposit/orders", key, key)
		return err != nil || got.status == http.StatusOK
	})
	require.NoError(t, err)
	return got
}
