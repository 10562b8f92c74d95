package backend_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// start is an arbitrary time; decisions get the time as an argument and read no clock.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// seeded is a random source with a fixed seed.
type seeded struct{ *rand.Rand }

// set returns a configuration with the service "menu" and its servers in three failure domains.
func set(size int) config.Set {
	change := config.Change{Revision: 1, Services: []config.Service{{Name: "menu", Selector: "role=menu"}}}
	for i := range size {
		name := fmt.Sprintf("menu-%04d", i)
		change.Backends = append(change.Backends, config.Backend{
			Name: name, Address: name, Domain: fmt.Sprintf("d%d", i%3), Slots: 4, Labels: map[string]string{"role": "menu"},
		})
	}
	return config.Set{}.WithChange(change)
}

func fleet(tb testing.TB, size int, leaving backend.Departures, previous backend.Fleet) backend.Fleet {
	next, err := backend.NewFleet(set(size), leaving, previous)
	require.NoError(tb, err)
	return next
}

// work records requests at a server one after the other, at the given time per token,
// and returns the time at the end.
func work(pool backend.Pool, server backend.Server, requests int, perToken time.Duration, now time.Time) time.Time {
	for range requests {
		id := pool.RecordStart(server, 1, now, &atomic.Bool{})
		now = now.Add(perToken)
		pool.RecordAnswer(server, id, perToken, 1, now)
		now = now.Add(perToken)
		pool.RecordProgress(server, id, 1, perToken, now)
		pool.RecordEnd(server, id, now)
	}
	return now
}

// Guards against ejecting so many servers that the remaining ones would be overloaded, and
// against ejected servers that are never restored.
func TestEjectionIsBoundedAndEndsByProbes(t *testing.T) {
	pool := fleet(t, 9, nil, backend.Fleet{}).Pool("menu")
	servers := fleetServers(t, pool)
	now := start
	for _, server := range servers {
		now = work(pool, server, 40, 10*time.Millisecond, now)
	}
	for _, server := range servers[:6] {
		work(pool, server, 3, time.Second, now)
	}
	assert.Equal(t, 3, pool.Health().EjectedCount(), "at most a third of nine servers is ejected")
	random := seeded{rand.New(rand.NewPCG(1, 1))}
	now = now.Add(time.Hour)
	for range 200 {
		choice, ok := pool.Choose(backend.Query{Now: now}, random)
		require.True(t, ok)
		now = work(pool, choice.Server, 1, 10*time.Millisecond, now)
	}
	assert.Zero(t, pool.Health().EjectedCount())
}

// fleetServers returns the servers of a pool by name, found by repeated choices.
func fleetServers(tb testing.TB, pool backend.Pool) []backend.Server {
	found := map[string]backend.Server{}
	random := seeded{rand.New(rand.NewPCG(2, 2))}
	for range 2000 {
		choice, ok := pool.Choose(backend.Query{Now: start}, random)
		require.True(tb, ok)
		found[choice.Server.Name] = choice.Server
	}
	servers := make([]backend.Server, 0, len(found))
	for i := range len(found) {
		servers = append(servers, found[fmt.Sprintf("menu-%04d", i)])
	}
	return servers
}

// Guards against the choice of a server that was tried, is leaving or has more load, and
// against wrong or missing reasons.
func TestChoiceExplainsItself(t *testing.T) {
	prefixes := backend.NewPrefixes("m", "a prompt")
	busy := func(server backend.Server) {
		server.Observation.Update(func(observation backend.Observation) backend.Observation {
			return observation.WithLoadReport(backend.LoadReport{Running: 9, At: start})
		})
	}
	for _, test := range []struct {
		name    string
		prepare func(pool backend.Pool, servers []backend.Server) backend.Query
		server  string
		reason  backend.Reason
		// rejection is the reason for the rejection of the other server.
		rejection backend.Reason
	}{
		{"server with the prefix cached", func(pool backend.Pool, servers []backend.Server) backend.Query {
			pool.Affinity().RecordStored(prefixes, "menu-0000", start)
			return backend.Query{Prefixes: prefixes}
		}, "menu-0000", backend.ReasonPrefixCached, backend.ReasonMoreLoaded},
		{"eviction from before the prefix was stored", func(pool backend.Pool, _ []backend.Server) backend.Query {
			pool.Affinity().RecordStored(prefixes, "menu-0000", start)
			pool.Affinity().RecordEvicted(prefixes, "menu-0000", start.Add(-time.Second))
			return backend.Query{Prefixes: prefixes}
		}, "menu-0000", backend.ReasonPrefixCached, backend.ReasonMoreLoaded},
		{"loaded server with the prefix cached", func(pool backend.Pool, servers []backend.Server) backend.Query {
			pool.Affinity().RecordStored(prefixes, "menu-0000", start)
			busy(servers[0])
			return backend.Query{Prefixes: prefixes}
		}, "menu-0001", backend.ReasonLeastLoaded, backend.ReasonMoreLoaded},
		{"server tried before", func(_ backend.Pool, _ []backend.Server) backend.Query {
			return backend.Query{Tried: []string{"menu-0001"}}
		}, "menu-0000", backend.ReasonLeastLoaded, backend.ReasonTried},
		{"server in the entry's failure domain", func(_ backend.Pool, _ []backend.Server) backend.Query {
			return backend.Query{Domain: "d1"}
		}, "menu-0001", backend.ReasonLeastLoaded, backend.ReasonOtherDomain},
		{"loaded server in the entry's failure domain", func(_ backend.Pool, servers []backend.Server) backend.Query {
			busy(servers[1])
			return backend.Query{Domain: "d1"}
		}, "menu-0000", backend.ReasonLeastLoaded, backend.ReasonMoreLoaded},
		{"server that is leaving since the fleet was built", func(_ backend.Pool, servers []backend.Server) backend.Query {
			servers[0].Observation.Update(func(observation backend.Observation) backend.Observation { return observation.WithLeaving(true) })
			return backend.Query{}
		}, "menu-0001", backend.ReasonLeastLoaded, backend.ReasonLeaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := fleet(t, 2, nil, backend.Fleet{}).Pool("menu")
			query := test.prepare(pool, fleetServers(t, pool))
			query.Now = start
			random := seeded{rand.New(rand.NewPCG(4, 4))}
			rejections := 0
			for range 50 {
				choice, ok := pool.Choose(query, random)
				require.True(t, ok)
				require.Equal(t, test.server, choice.Server.Name)
				require.Equal(t, test.reason, choice.Reason)
				for _, rejection := range choice.Rejected() {
					require.Equal(t, test.rejection, rejection.Reason)
					rejections++
				}
			}
			assert.Positive(t, rejections)
		})
	}
}

// Guards against a leaving server that counts as live again because of an outdated list
// or an outdated update from a peer.
func TestLeavingIsStickyForAnIncarnation(t *testing.T) {
	leaving := backend.Departures(nil).WithLive("s", 3).WithNotice("s", 0, backend.SourceNotice, start)
	peer := backend.Departures(nil).WithLive("s", 3)
	for name, test := range map[string]struct {
		state backend.Departures
		want  bool
	}{
		"stale list":          {leaving.WithLive("s", 3), true},
		"older incarnation":   {leaving.WithLive("s", 2), true},
		"newer incarnation":   {leaving.WithLive("s", 4), false},
		"late notice":         {leaving.WithLive("s", 4).WithNotice("s", 3, backend.SourceList, start), false},
		"stale peer":          {leaving.Merge(peer), true},
		"merged into peer":    {peer.Merge(leaving), true},
		"listed after notice": {backend.Departures(nil).WithNotice("s", 0, backend.SourcePeer, start).WithLive("s", 3), true},
	} {
		assert.Equal(t, test.want, test.state.IsLeaving("s"), name)
	}
	assert.Equal(t, leaving.Merge(peer), peer.Merge(leaving))
	before := fleet(t, 2, nil, backend.Fleet{})
	after := fleet(t, 2, backend.Departures(nil).WithNotice("menu-0000", 1, backend.SourceNotice, start), before)
	assert.Len(t, after.Candidates("menu"), 1)
	server, _ := before.Server("menu-0000")
	assert.True(t, server.Observation.Load().Leaving, "requests that queued with the older fleet do not observe that the server is leaving")
}

// BenchmarkChoose measures a choice; its time and allocations must not grow with the number of servers.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			pool := fleet(b, size, nil, backend.Fleet{}).Pool("menu")
			prefixes := backend.NewPrefixes("m", "a prompt")
			pool.Affinity().RecordStored(prefixes, "menu-0007", start)
			query := backend.Query{Now: start, Domain: "d1", Prefixes: prefixes}
			random := seeded{rand.New(rand.NewPCG(1, 2))}
			choose := func() { pool.Choose(query, random) }
			for b.Loop() {
				choose()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns/choice")
			b.ReportMetric(testing.AllocsPerRun(1000, choose), "allocs/choice")
		})
	}
}

// BenchmarkRebuild measures building a new fleet after a change of one server.
func BenchmarkRebuild(b *testing.B) {
	for _, size := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			documents := set(size)
			current := fleet(b, size, nil, backend.Fleet{})
			leaving := backend.Departures(nil)
			for number := uint64(1); b.Loop(); number++ {
				leaving = leaving.WithNotice("menu-0003", number, backend.SourceNotice, start)
				current, _ = backend.NewFleet(documents, leaving, current)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/server")
		})
	}
}
