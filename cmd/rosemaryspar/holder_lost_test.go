package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
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
	platformkv "github.com/rosemaryspar/rosemaryspar/internal/platform/kv"
)

// shards is the number of shards of the entries' booking ledgers.
var shards = pipebooking.DefaultSettings("").Shards

// Guards against a second run of a non-idempotent order after the entry that sent it was killed while it
// ran: a repeat at another entry must get the answer of the first run, through the service's status call.
func TestOrderOfAKilledEntryIsResolved(t *testing.T) {
	fleet := newFleet(t, layout{operationTime: time.Second})
	key := keyWithLeader(1, "killed")
	fleet.sendAsync(t, 1, "/services/deposit/orders", key, key)
	awaitRunning(t, fleet.services, 0)
	fleet.entries[1].Kill()
	resolved := fleet.sendUntilAnswered(t, 0, key)
	assert.Equal(t, "POST /orders "+runner.Text(key, 0, 4), string(resolved.body))
	assert.Equal(t, resolved, fleet.sendUntilAnswered(t, 2, key))
	assert.Equal(t, "1", fleet.runCount(t, key))
}

// Guards against a second run of a non-idempotent order, or a different answer to it. The entry that sent
// the order is suspended while it runs, another entry resolves the order, and the first entry resumes.
func TestFrozenHolderOfASentOrder(t *testing.T) {
	fleet := newFleet(t, layout{operationTime: time.Second})
	key := keyWithLeader(1, "frozen-after")
	firstResult := fleet.sendAsync(t, 1, "/services/deposit/orders", key, key)
	awaitRunning(t, fleet.services, 0)
	signal(t, fleet.entries[1], syscall.SIGSTOP)
	resolved := fleet.sendUntilAnswered(t, 0, key)
	signal(t, fleet.entries[1], syscall.SIGCONT)
	if firstAnswer := <-firstResult; firstAnswer.status == resolved.status {
		assert.Equal(t, resolved, firstAnswer)
	}
	for entry := range fleet.entries {
		assert.Equal(t, resolved, fleet.sendUntilAnswered(t, entry, key))
	}
	assert.Equal(t, "1", fleet.runCount(t, key))
}

// Guards against a second run of a non-idempotent order whose entry is suspended between writing its
// intent and sending it. No other entry may report the order as not run, since the suspended entry may
// still send it.
func TestFrozenHolderOfAnUnsentOrder(t *testing.T) {
	// The timeout exceeds the time for which another entry's intent may stay open, which is 10 s.
	fleet := newFleet(t, layout{orderTimeout: 13 * time.Second})
	fleet.setStoreFaults(t, kv.Faults{AnswerDelay: time.Second})
	key, firstResult := fleet.suspendWithUnsentOrder(t)
	fleet.setStoreFaults(t, kv.Faults{})
	repeated := fleet.send(t, 0, "/services/deposit/orders", key, key)
	assert.NotEqual(t, http.StatusOK, repeated.status)
	assert.Equal(t, "Unknown", repeated.ran)
	signal(t, fleet.entries[1], syscall.SIGCONT)
	firstAnswer := <-firstResult
	resolved := fleet.sendUntilAnswered(t, 2, key)
	if firstAnswer.status == resolved.status {
		assert.Equal(t, resolved, firstAnswer)
	}
	for entry := range fleet.entries {
		assert.Equal(t, resolved, fleet.sendUntilAnswered(t, entry, key))
	}
	assert.Equal(t, "1", fleet.runCount(t, key))
}

// keyWithLeader returns an idempotency key whose shard is led by the entry with that number, which therefore sends
// the order.
func keyWithLeader(entry int, prefix string) string {
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

// setStoreFaults sets the faults that the key-value service injects.
func (fleet *fleet) setStoreFaults(t *testing.T, faults kv.Faults) {
	t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(t, err)
	response, err := http.Post("http://"+fleet.store.Addresses["Address"]+"/faults", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// suspendWithUnsentOrder suspends entry 1 after it has written the intent of an order and before it sends the order. It
// returns the key of the order and where its first result arrives.
//
// An entry that is suspended too late, as on a busy machine, resumes, and another order takes the place of the one that it has
// sent.
func (fleet *fleet) suspendWithUnsentOrder(t *testing.T) (key string, firstResult <-chan answer) {
	t.Helper()
	for attempt := range 5 {
		key := keyWithLeader(1, fmt.Sprintf("frozen-before-%d", attempt))
		recordsBefore := fleet.bookingRecords(t)
		firstResult := fleet.sendAsync(t, 1, "/services/deposit/orders", key, key)
		await(t, "the intent is written", func() bool { return fleet.bookingRecords(t) > recordsBefore })
		signal(t, fleet.entries[1], syscall.SIGSTOP)
		if fleet.runCount(t, key) == "0" {
			return key, firstResult
		}
		signal(t, fleet.entries[1], syscall.SIGCONT)
		<-firstResult
	}
	require.Fail(t, "the entry was never suspended before it sent an order")
	return "", nil
}

// bookingRecords returns how many records the booking logs in the key-value service have.
func (fleet *fleet) bookingRecords(t *testing.T) int {
	t.Helper()
	client := platformkv.New(platformkv.DefaultSettings(fleet.store.Addresses["Address"]))
	defer client.Close()
	page, err := client.Range(t.Context(), "rosemaryspar/booking/", "", 0)
	require.NoError(t, err)
	return len(page.Items)
}
