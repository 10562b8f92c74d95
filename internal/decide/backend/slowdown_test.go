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

// Guards against entries that have different reports because they received them in different orders.
func TestSlowdownReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) backend.SlowdownReports {
			reports := backend.SlowdownReports{}
			for range rapid.IntRange(0, 5).Draw(t, label) {
				server := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				reports = reports.WithReport(server, backend.SlowdownReport{
					Slowdown: float64(rapid.IntRange(1, 10).Draw(t, "slowdown")),
					Age:      time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second,
				})
			}
			return reports
		}
		all := func(reports backend.SlowdownReports) map[string]backend.SlowdownReport {
			return maps.Collect(reports.All())
		}
		a, b, c := draw("one"), draw("other"), draw("third")
		assert.Equal(t, all(a.Merge(b)), all(b.Merge(a)))
		assert.Equal(t, all(a.Merge(b).Merge(c)), all(a.Merge(b.Merge(c))))
		assert.Equal(t, all(a), all(a.Merge(a)))
	})
	invalid := backend.SlowdownReports{}.WithReport("a", backend.SlowdownReport{Slowdown: math.NaN()}).WithReport("b", backend.SlowdownReport{})
	assert.Zero(t, invalid.Len(), "reports without a positive slowdown")
	ageing := backend.SlowdownReports{}.WithReport("a", backend.SlowdownReport{Slowdown: 5, Age: 9 * time.Second})
	assert.Equal(t, 1, ageing.Len())
	assert.Zero(t, ageing.WithElapsed(time.Second).Len(), "a report that has reached its TTL is still forwarded")
}

// Guards against work sent to a server that another entry reports as slow, and against
// a peer's report that ejects the server, or that still counts after the entry's own work
// there has shown the usual speed.
func TestPeerSlowdownAvoidsAServerUntilOwnWorkRefutesIt(t *testing.T) {
	reporter, receiver := fleet(t, 6, nil, backend.Fleet{}), fleet(t, 6, nil, backend.Fleet{})
	now := start
	servers := fleetServers(t, receiver.Pool("menu"))
	for _, server := range fleetServers(t, reporter.Pool("menu")) {
		work(reporter.Pool("menu"), server, 20, 20*time.Millisecond, now)
	}
	for _, server := range servers {
		work(receiver.Pool("menu"), server, 20, 20*time.Millisecond, now)
	}
	assert.Zero(t, reporter.SlowdownReports(now).Len(), "servers at their usual speed are reported")
	slow := fleetServers(t, reporter.Pool("menu"))[0]
	now = work(reporter.Pool("menu"), slow, 4, 200*time.Millisecond, now.Add(time.Second))

	sent := reporter.SlowdownReports(now)
	assert.Equal(t, 1, sent.Len())
	now = now.Add(500 * time.Millisecond)
	receiver.ApplySlowdownReports(sent.WithElapsed(500*time.Millisecond), now)
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		choice, ok := receiver.Pool("menu").Choose(backend.Query{Now: now}, random)
		assert.True(t, ok)
		assert.NotEqual(t, slow.Name, choice.Server.Name)
	}
	assert.False(t, receiver.Pool("menu").Health().IsEjected(slow.Name))

	now = work(receiver.Pool("menu"), servers[0], 1, 20*time.Millisecond, now.Add(time.Second))
	assert.Less(t, servers[0].Observation.Load().ExpectedSlowdown(now), 1.5)
	refuted := receiver.SlowdownReports(now).Merge(sent.WithElapsed(2 * time.Second))
	assert.Less(t, maps.Collect(refuted.All())[slow.Name].Slowdown, 1.5, "the later report counts")
}
