package share_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// configurationBound and departureBound are the times within which a configuration and a server's leaving must be in
	// force at every entry.
	configurationBound = 3 * time.Second
	departureBound     = 3 * time.Second
	// maxConfirmationAge is the age of the configuration at which an entry turns unready.
	maxConfirmationAge = 4 * time.Second
)

// routesOf returns the JSON of a number of routes with random names, about as long as operators' documents have it.
func routesOf(count int) string {
	random := rand.New(rand.NewPCG(1, 2))
	word := func(length int) string {
		letters := make([]byte, length)
		for i := range letters {
			letters[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[random.IntN(36)]
		}
		return string(letters)
	}
	var routes strings.Builder
	for range count {
		fmt.Fprintf(&routes, `{"Name":"r-%s","Host":"%s.example","Prefix":"/%s/","Kind":"Idempotent","TimeoutMilliseconds":1500,"TargetMilliseconds":300,"Priority":2,"Services":["kaba98a"],"Attempts":2,"Public":false,"CacheAffinity":false,"Resumable":false,"GapTargetMilliseconds":0},`, word(7), word(6), word(7))
	}
	return " " + routes.String()
}

// smallLinks returns the cores and the bandwidth of an entry: eight have links of 200 Mbit/s, all others of 10 Mbit/s, of
// which calls use half.
func smallLinks(entry int) (cores, bytesPerSecond float64) {
	const mbit = 1e6 / 8 / 2
	if entry < 8 {
		return 0.8, 200 * mbit
	}
	return 0.192, 10 * mbit
}

// Guards against a configuration of thousands of routes that does not reach entries with small links, since each
// transfer of it times out and starts again, and against departures of servers that arrive late beside it.
func TestLargeConfigurationReachesEntriesWithSmallLinks(t *testing.T) {
	t.Parallel()
	for _, count := range []int{9, 69} {
		t.Run(fmt.Sprint(count, "_entries"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fleet := startLimitedFleet(ctx, count, startSpacing, smallLinks)
				fleet.store.setServers(serverList(60))
				time.Sleep(5 * time.Second)
				for change := range 4 {
					fleet.store.routes.Store(routesOf(1400 * min(change+1, 3)))
					version := fleet.store.version.Load() + 1
					fleet.store.version.Store(version)
					fleet.assertChangesInForce(t, version, change)
				}
				cancel()
				fleet.group.Wait()
			})
		})
	}
}

// assertChangesInForce lets a server leave half a second after the configuration got a version, and asserts that both are
// in force in time at each entry and that the entries have recent copies meanwhile.
func (fleet *fleet) assertChangesInForce(t *testing.T, version int64, leaving int) {
	const step = 50 * time.Millisecond
	elapsed := time.Duration(0)
	run := func(until time.Duration) {
		for ; elapsed < until; elapsed += step {
			time.Sleep(step)
			for name, shared := range fleet.shared {
				if age := shared.RoutesAge(); age >= maxConfirmationAge {
					assert.Fail(t, "configuration not confirmed", "entry %s is not ready %v after version %d: age %v", name, elapsed, version, age)
				}
			}
		}
	}
	run(500 * time.Millisecond)
	fleet.store.setServers(serverList(60, leaving))
	run(configurationBound)
	late := 0
	for _, shared := range fleet.shared {
		if shared.Routes().Version() != version {
			late++
		}
	}
	assert.Zero(t, late, "entries without version %d after %v", version, elapsed)
	run(500*time.Millisecond + departureBound)
	late = 0
	for _, shared := range fleet.shared {
		if len(shared.Servers().OfService("s")) != 59-leaving { // those of earlier changes have left for good
			late++
		}
	}
	assert.Zero(t, late, "entries that use a leaving server %v after it said so", departureBound)
}

// Guards against entries that once lacked a large configuration and get each later change from every entry that they have met.
func TestLargeConfigurationLeavesNoFurtherPushTargets(t *testing.T) {
	t.Parallel()
	const entries, changes = 60, 10
	withFleet(t, entries, func(t *testing.T, fleet *fleet) {
		fleet.store.setServers(serverList(100))
		for range 3 {
			fleet.store.routes.Store(routesOf(1400))
			fleet.store.version.Update(func(version int64) int64 { return version + 1 })
			time.Sleep(10 * time.Second)
		}
		pushes := fleet.traffic.pushes.Load()
		for change := range changes {
			fleet.store.setServers(serverList(100, change))
			time.Sleep(time.Second)
		}
		// Each entry gets a change once, and an aggregator also from the other two aggregators.
		assert.LessOrEqual(t, fleet.traffic.pushes.Load()-pushes, int64(changes*(entries+2*3)), "messages in %d changes", changes)
	})
}
