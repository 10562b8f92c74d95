package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/membership"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	pipebooking "github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
)

// shards is the number of shards of the entries' ledgers.
var shards = pipebooking.DefaultSettings("").Shards

// Guards P4 when the entry that holds a running order is killed: a repeat at
// another entry gets the first run's answer from the service.
func TestOrderOfAKilledEntryIsSettled(t *testing.T) {
	fleet := newFleet(t, layout{operation: time.Second})
	key := keyLedBy(1, "killed")
	fleet.later(t, 1, "/services/deposit/orders", key, key)
	awaitRunning(t, fleet.services, 0)
	fleet.entries[1].Kill()
	done := fleet.repeat(t, 0, key)
	assert.Equal(t, "POST /orders "+runner.Text(key, 0, 4), string(done.body))
	assert.Equal(t, done, fleet.repeat(t, 2, key))
	assert.Equal(t, "1", fleet.runs(t, key))
}

// Guards P4 when the entry that holds a running order is frozen and another
// entry settles the order: the first adds no run and no other answer when it goes on.
func TestFrozenHolderOfASentOrder(t *testing.T) {
	fleet := newFleet(t, layout{operation: time.Second})
	key := keyLedBy(1, "frozen-after")
	first := fleet.later(t, 1, "/services/deposit/orders", key, key)
	awaitRunning(t, fleet.services, 0)
	signal(t, fleet.entries[1], syscall.SIGSTOP)
	done := fleet.repeat(t, 0, key)
	signal(t, fleet.entries[1], syscall.SIGCONT)
	if late := <-first; late.status == done.status {
		assert.Equal(t, done, late)
	}
	for entry := range fleet.entries {
		assert.Equal(t, done, fleet.repeat(t, entry, key))
	}
	assert.Equal(t, "1", fleet.runs(t, key))
}

// Guards P4 when an entry is frozen between the write of an intent and the
// dispatch: no other entry takes the order for one that did not run, since the
// first may be about to send it.
func TestFrozenHolderOfAnUnsentOrder(t *testing.T) {
	// The timeout is longer than the time for which another entry's intent stands.
	fleet := newFleet(t, layout{orderTimeout: 13 * time.Second})
	key := keyLedBy(1, "frozen-before")
	fleet.setStoreFaults(t, kv.Faults{AnswerDelay: time.Second})
	before := fleet.storeWrites()
	first := fleet.later(t, 1, "/services/deposit/orders", key, key)
	await(t, "the intent is written", func() bool { return fleet.storeWrites() > before })
	signal(t, fleet.entries[1], syscall.SIGSTOP)
	fleet.setStoreFaults(t, kv.Faults{})
	other := fleet.send(t, 0, "/services/deposit/orders", key, key)
	assert.NotEqual(t, http.StatusOK, other.status)
	assert.Equal(t, "Unknown", other.ran)
	signal(t, fleet.entries[1], syscall.SIGCONT)
	late := <-first
	done := fleet.repeat(t, 2, key)
	if late.status == done.status {
		assert.Equal(t, done, late)
	}
	for entry := range fleet.entries {
		assert.Equal(t, done, fleet.repeat(t, entry, key))
	}
	assert.Equal(t, "1", fleet.runs(t, key))
}

// keyLedBy returns an idempotency key whose shard the entry of that number leads, so that it holds the order.
func keyLedBy(entry int, prefix string) string {
	var listings []membership.Listing
	for number := range domains {
		listings = append(listings, membership.Listing{Name: entryName(number)})
	}
	view := membership.View{}.WithListings(listings)
	for number := 0; ; number++ {
		key := fmt.Sprintf("%s-%d", prefix, number)
		shard := booking.ShardOf(booking.Key{Account: "desk", IdempotencyKey: key}, shards)
		if leader, _ := membership.Owner(view, shard); leader.Name == entryName(entry) {
			return key
		}
	}
}

// setStoreFaults makes the key-value service misbehave.
func (fleet *fleet) setStoreFaults(t *testing.T, faults kv.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	response, err := http.Post("http://"+fleet.store.Addresses["Address"]+"/faults", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// storeWrites returns how many calls changed the data of the key-value service, -1 if it does not answer.
func (fleet *fleet) storeWrites() int {
	response, err := http.Get("http://" + fleet.store.Addresses["Address"] + "/writes")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	count, err := strconv.Atoi(string(text))
	if err != nil {
		return -1
	}
	return count
}
