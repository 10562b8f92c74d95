package backend_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
)

// Guards against entries that end up with different sightings by the order in which they hear of them.
func TestSightingsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) backend.SlowdownReports {
			sightings := backend.SlowdownReports{}
			for range rapid.IntRange(0, 5).Draw(t, label) {
				server := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				sightings = sightings.WithReport(server, backend.SlowdownReport{
					Slowdown: float64(rapid.IntRange(1, 10).Draw(t, "slowness")),
					Age:      time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second,
				})
			}
			return sightings
		}
		all := func(sightings backend.SlowdownReports) map[string]backend.SlowdownReport {
			return maps.Collect(sightings.All())
		}
		one, other, third := draw("one"), draw("other"), draw("third")
		assert.Equal(t, all(one.Merge(other)), all(other.Merge(one)))
		assert.Equal(t, all(one.Merge(other).Merge(third)), all(one.Merge(other.Merge(third))))
		assert.Equal(t, all(one), all(one.Merge(one)))
	})
	broken := backend.SlowdownReports{}.WithReport("a", backend.SlowdownReport{Slowdown: math.NaN()}).WithReport("b", backend.SlowdownReport{})
	assert.Zero(t, broken.Len(), "sightings without a slowness")
	old := backend.SlowdownReports{}.WithReport("a", backend.SlowdownReport{Slowdown: 5, Age: 9 * time.Second})
	assert.Equal(t, 1, old.Len())
	assert.Zero(t, old.WithAge(time.Second).Len(), "passed on without end")
}

// Guards against work sent to a server that another entry sees slowed, and
// against hearsay that ejects a server or outlives the entry's own work there.
func TestHeardSlownessAvoidsAServerUntilOwnWorkRefutesIt(t *testing.T) {
	teller, listener := fleet(t, 6, nil, backend.Fleet{}), fleet(t, 6, nil, backend.Fleet{})
	now := start
	servers := fleetServers(t, listener.Pool("menu"))
	for _, server := range fleetServers(t, teller.Pool("menu")) {
		work(teller.Pool("menu"), server, 20, 20*time.Millisecond, now)
	}
	for _, server := range servers {
		work(listener.Pool("menu"), server, 20, 20*time.Millisecond, now)
	}
	assert.Zero(t, teller.SlowdownReports(now).Len(), "servers at their usual speed are passed on")
	slow := fleetServers(t, teller.Pool("menu"))[0]
	now = work(teller.Pool("menu"), slow, 4, 200*time.Millisecond, now.Add(time.Second))

	told := teller.SlowdownReports(now)
	assert.Equal(t, 1, told.Len())
	now = now.Add(500 * time.Millisecond)
	listener.ApplySlowdownReports(told.WithAge(500*time.Millisecond), now)
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		choice, ok := listener.Pool("menu").Choose(backend.Query{Now: now}, random)
		assert.True(t, ok)
		assert.NotEqual(t, slow.Name, choice.Server.Name)
	}
	assert.False(t, listener.Pool("menu").Health().Ejected(slow.Name))

	now = work(listener.Pool("menu"), servers[0], 1, 20*time.Millisecond, now.Add(time.Second))
	assert.Less(t, servers[0].Observation.Load().ExpectedSlowdown(now), 1.5)
	refuted := listener.SlowdownReports(now).Merge(told.WithAge(2 * time.Second))
	assert.Less(t, maps.Collect(refuted.All())[slow.Name].Slowdown, 1.5, "the younger sighting counts")
}
