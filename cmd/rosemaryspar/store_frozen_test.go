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

// Guards P3 and P4 when the key-value service stands still: an order is refused
// as not run in time, did not run, and runs once when it is repeated later.
// Work that needs no record goes on.
func TestFrozenStoreHoldsUpOrdersOnly(t *testing.T) {
	fleet := newFleet(t, layout{orderTimeout: 2 * time.Second})
	signal(t, fleet.store, syscall.SIGSTOP)
	const key = "frozen"
	sent := time.Now()
	order := fleet.later(t, 0, "/services/deposit/orders", key, key)
	for entry := range fleet.entries {
		assertOK(t, fleet.send(t, entry, "/v1/completions", draft("note tokens=4 ", true), ""))
		assertOK(t, fleet.send(t, entry, "/services/stock/lace", "V-17", ""))
	}
	refused := <-order
	assert.Less(t, time.Since(sent), 3*time.Second, "the order's deadline and a margin of 1 s")
	assert.Equal(t, http.StatusServiceUnavailable, refused.status, string(refused.body))
	assert.Equal(t, "NotRun", refused.ran)
	assert.Equal(t, "0", fleet.runs(t, key))

	signal(t, fleet.store, syscall.SIGCONT)
	done := fleet.repeat(t, 1, key)
	assert.Equal(t, "POST /orders "+runner.Text(key, 0, 4), string(done.body))
	assert.Equal(t, done, fleet.repeat(t, 0, key))
	assert.Equal(t, "1", fleet.runs(t, key))
}

// repeat sends an order again until it is answered; the answers before that must not claim a success.
func (fleet *fleet) repeat(t *testing.T, entry int, key string) answer {
	t.Helper()
	var got answer
	var err error
	await(t, "the order is answered", func() bool {
		got, err = fleet.trySend(t.Context(), entry, "/services/deposit/orders", key, key)
		return err != nil || got.status == http.StatusOK
	})
	require.NoError(t, err)
	return got
}
