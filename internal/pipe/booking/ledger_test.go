package booking_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	decide "github.com/rosemaryspar/rosemaryspar/internal/decide/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	fakekv "github.com/rosemaryspar/rosemaryspar/internal/fake/kv"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/booking"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/kvlog"
)

// fleet is several entries that share one store and one service.
type fleet struct {
	store   *fakekv.Memory
	links   []*fakekv.Link
	ledgers []*booking.Ledger
	service *service
}

// withFleet runs check on a fleet in virtual time. The function change adjusts each entry's settings.
func withFleet(t *testing.T, entries int, change func(*booking.Settings), check func(*testing.T, fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fleet := fleet{store: fakekv.NewMemory(), service: newService()}
		var running sync.WaitGroup
		for index := range entries {
			link := fleet.store.Connect(2 * time.Millisecond)
			settings := booking.DefaultSettings(fmt.Sprintf("entry%d", index))
			settings.Shards = 1
			change(&settings)
			ledger := booking.New(settings, nil, func(int) booking.Log { return kvlog.New(link, "b") })
			fleet.links, fleet.ledgers = append(fleet.links, link), append(fleet.ledgers, ledger)
			running.Go(func() { _ = ledger.Run(ctx) })
		}
		check(t, fleet)
		cancel()
		running.Wait()
	})
}

// defaultSettings leaves the settings as they are.
func defaultSettings(*booking.Settings) {}

func order(key, body string, timeout time.Duration) booking.Order {
	return booking.Order{Key: decide.Key{Account: "a", IdempotencyKey: key}, BodyHash: body, Deadline: time.Now().Add(timeout)}
}

func (fleet fleet) sender(key string) *sender {
	return &sender{service: fleet.service, key: key, random: rand.New(rand.NewPCG(1, 2)), crashed: new(atomic.Bool)}
}

func (fleet fleet) runs(key string) int { return fleet.service.runs.Load()[key] }

// Guards against a second run, or a different answer, when two entries execute the same key and the
// first one's calls to the store fail.
func TestStoreFaultsAtTheFirstEntry(t *testing.T) {
	cases := []struct {
		name string
		// script contains the faults of the first entry's calls to the store: read, write, read of
		// the floor, write, read of the floor.
		script []fakekv.LinkFault
		// secondCommitsFirst reports that the second entry commits its intent before the first.
		secondCommitsFirst bool
	}{
		{"none", nil, false},
		{"answer of the intent lost", []fakekv.LinkFault{fakekv.LinkSound, fakekv.LinkAnswerLost}, false},
		{"answers of all writes lost", []fakekv.LinkFault{fakekv.LinkSound, fakekv.LinkAnswerLost, fakekv.LinkSound, fakekv.LinkSound, fakekv.LinkAnswerLost}, false},
		{"intent arrives late", []fakekv.LinkFault{fakekv.LinkSound, fakekv.LinkLate}, false},
		{"intent arrives twice", []fakekv.LinkFault{fakekv.LinkSound, fakekv.LinkTwice}, false},
		{"paused before its commit", []fakekv.LinkFault{fakekv.LinkSound, fakekv.LinkPauseBefore}, true},
		{"paused before it reads", []fakekv.LinkFault{fakekv.LinkPauseAfter}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, defaultSettings, func(t *testing.T, fleet fleet) {
				fleet.links[0].Script(c.script...)
				firstAnswer := make(chan call.Answer, 1)
				go func() {
					answer, err := fleet.ledgers[0].Execute(context.Background(), order("k", "b", time.Minute), fleet.sender("k"))
					assert.NoError(t, err)
					firstAnswer <- answer
				}()
				sleep(time.Second)
				if c.secondCommitsFirst {
					assert.Zero(t, fleet.runs("k"))
				}
				secondAnswer, err := fleet.ledgers[1].Execute(t.Context(), order("k", "b", time.Minute), fleet.sender("k"))
				require.NoError(t, err)
				assert.Equal(t, <-firstAnswer, secondAnswer)
				assert.Equal(t, 1, fleet.runs("k"))
			})
		})
	}
}

// Guards against orders that hang or end with a wrong result while the store is unavailable, and
// against wrong results of retries afterwards.
func TestOutageRefusesAsNotRun(t *testing.T) {
	withFleet(t, 2, defaultSettings, func(t *testing.T, fleet fleet) {
		_, err := fleet.ledgers[0].Execute(t.Context(), order("done", "b", time.Minute), fleet.sender("done"))
		require.NoError(t, err)
		fleet.links[0].Script(fakekv.LinkLate) // the intent is written after its order was refused
		startedAt := time.Now()
		time.AfterFunc(10*time.Millisecond, func() { fleet.links[0].SetOut(true) })
		_, err = fleet.ledgers[0].Execute(t.Context(), order("k", "b", 5*time.Second), fleet.sender("k"))
		var refusal *call.Refusal
		require.ErrorAs(t, err, &refusal)
		assert.Equal(t, call.ReasonStoreUnavailable, refusal.Reason)
		assert.InDelta(t, 5, time.Since(startedAt).Seconds(), 0.2, "waits until shortly before the deadline")
		answer, err := fleet.ledgers[0].Execute(t.Context(), order("done", "b", time.Second), fleet.sender("done"))
		require.NoError(t, err, "a finished key is answered during the outage")
		assert.Equal(t, "done run 1", string(answer.Body))
		sleep(time.Minute)
		assert.Zero(t, fleet.runs("k"))
		fleet.links[0].SetOut(false)
		sleep(5 * time.Second)
		assert.NotEqual(t, decide.StateIntent, fleet.ledgers[0].Shard(0).Record(order("k", "", 0).Key).State, "the intent is withdrawn")
		_, err = fleet.ledgers[1].Execute(t.Context(), order("k", "b", time.Minute), fleet.sender("k"))
		require.NoError(t, err)
		assert.Equal(t, 1, fleet.runs("k"))
	})
}

// Guards against an order being sent again after its process has crashed, and against one that stays
// unresolved although the service can report its outcome.
func TestOrderOfADeadHolderIsResolved(t *testing.T) {
	cases := []struct {
		name                  string
		ran, hasStatus, byKey bool
		body                  string
		answered              bool
		runs                  int
	}{
		{"ran, status", true, true, false, "b", true, 1},
		{"ran, no status", true, false, false, "b", false, 1},
		{"ran, by key", true, false, true, "b", true, 1},
		{"not run, status", false, true, false, "b", false, 0},
		{"not run, by key", false, false, true, "b", true, 1},
		{"other body", true, true, false, "other", false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 2, defaultSettings, func(t *testing.T, fleet fleet) {
				fleet.service.byKey = c.byKey
				lost := fleet.sender("k")
				lost.crashed.Store(!c.ran)
				time.AfterFunc(50*time.Millisecond, func() { fleet.links[0].Kill() })
				_, err := fleet.ledgers[0].Execute(t.Context(), order("k", "b", time.Second), lost)
				require.Error(t, err)
				sender := fleet.sender("k")
				sender.hasStatus = c.hasStatus
				repeat := order("k", c.body, time.Minute)
				repeat.ByKey = c.byKey
				answer, err := fleet.ledgers[1].Execute(t.Context(), repeat, sender)
				assert.Equal(t, c.answered, err == nil)
				if c.answered {
					assert.Equal(t, "k run 1", string(answer.Body))
				} else {
					assert.Equal(t, c.body == "other", notRun(err), "an unknown outcome is not reported as not run")
				}
				assert.Equal(t, c.runs, fleet.runs("k"))
			})
		})
	}
}

// Guards against a caller that does not receive the answer that the service has, and against a
// second send without a retry by the caller.
func TestLostAnswerOfTheService(t *testing.T) {
	cases := []struct {
		name                       string
		hasStatus, byKey, answered bool
	}{
		{"status", true, false, true},
		{"no status", false, false, false},
		{"by key", true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, defaultSettings, func(t *testing.T, fleet fleet) {
				sender := fleet.sender("k")
				sender.losesAnswer, sender.hasStatus = true, c.hasStatus
				sent := order("k", "b", time.Minute)
				sent.ByKey = c.byKey
				answer, err := fleet.ledgers[0].Execute(t.Context(), sent, sender)
				assert.Equal(t, c.answered, err == nil)
				assert.Equal(t, c.answered, string(answer.Body) == "k run 1")
				assert.False(t, notRun(err))
				assert.Equal(t, 1, fleet.runs("k"))
			})
		})
	}
}

// Guards against a log that grows without bound, and against wrong results at entries that had not
// read the log as far as it was truncated.
func TestTruncationKeepsRecentAndUnresolvedOrders(t *testing.T) {
	frequentTruncation := func(settings *booking.Settings) {
		settings.ShardSettings.Retention, settings.TruncateInterval, settings.TruncateEntries = time.Hour, time.Minute, 10
	}
	withFleet(t, 2, frequentTruncation, func(t *testing.T, fleet fleet) {
		for number := range 20 {
			key := fmt.Sprint("old", number)
			_, err := fleet.ledgers[0].Execute(t.Context(), order(key, "b", time.Minute), fleet.sender(key))
			require.NoError(t, err)
		}
		lost := fleet.sender("lost")
		lost.crashed.Store(true)
		_, err := fleet.ledgers[0].Execute(t.Context(), order("lost", "b", time.Minute), lost)
		require.Error(t, err)
		sleep(50 * time.Minute)
		_, err = fleet.ledgers[0].Execute(t.Context(), order("new", "b", time.Minute), fleet.sender("new"))
		require.NoError(t, err)
		sleep(20 * time.Minute)
		assert.Len(t, fleet.store.State().Items("b/", "b0"), 4, "the new order's two log entries, the unresolved order and the floor")
		assert.Equal(t, 2, fleet.ledgers[0].Shard(0).Count())
		answer, err := fleet.ledgers[1].Execute(t.Context(), order("new", "b", time.Minute), fleet.sender("new"))
		require.NoError(t, err)
		assert.Equal(t, "new run 1", string(answer.Body))
		_, err = fleet.ledgers[1].Execute(t.Context(), order("lost", "b", time.Minute), fleet.sender("lost"))
		assert.False(t, notRun(err), "an unresolved order is kept by the truncation")
		assert.Zero(t, fleet.runs("lost"), "an unresolved order is not sent again")
	})
}
