package backend

import (
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// baseUnits is added to the number of tokens of a prompt and accounts for the fixed cost of starting an answer.
const baseUnits = 64

// bytesPerToken is the usual length of a token, used to estimate the number of tokens of a prompt.
const bytesPerToken = 4

// progressSlack is added to the time in which progress is expected, since short
// pauses of a stream do not show that its server is slow.
const progressSlack = 10 * time.Millisecond

// Pool holds the servers of one service, with their common health and cache affinity.
//
// The servers belong to one snapshot; health and affinity are shared by successive snapshots.
type Pool struct {
	candidateSet
	health   *rcu.Cell[Health]
	affinity Affinity
}

// candidateSet holds the candidates of a selector.
type candidateSet struct {
	servers []Server
	// index has the positions in servers by name, and domains those by failure domain.
	index   map[string]int
	domains map[string][]int
}

func newCandidateSet(servers []Server) candidateSet {
	candidates := candidateSet{servers: servers, index: make(map[string]int, len(servers)), domains: map[string][]int{}}
	for i := range servers {
		candidates.index[servers[i].Name] = i
		candidates.domains[servers[i].Domain] = append(candidates.domains[servers[i].Domain], i)
	}
	return candidates
}

// newPool returns the pool of the candidates, with the health and affinity of the service's previous pool if
// there is one.
func newPool(candidates candidateSet, previous Pool) Pool {
	if previous.health == nil {
		return Pool{candidateSet: candidates, health: rcu.New(Health{}), affinity: NewAffinity()}
	}
	if previous.health.Load().EjectedCount() > 0 {
		previous.health.Update(func(health Health) Health { return health.WithOnlyMembers(candidates.has) })
	}
	return Pool{candidateSet: candidates, health: previous.health, affinity: previous.affinity}
}

func (candidateSet candidateSet) has(server string) bool {
	_, ok := candidateSet.index[server]
	return ok
}

// Health returns the current health of the service's servers.
func (pool Pool) Health() Health { return pool.health.Load() }

// Affinity returns the index of cached prefixes, which cache events of the servers update.
func (pool Pool) Affinity() Affinity { return pool.affinity }

// WorkUnits returns the amount of work of a request up to the first token or the answer,
// in tokens of the prompt and of the answer to resume, plus a fixed cost.
func WorkUnits(request call.Request) float64 {
	tokens := len(request.Completion.Prompt)/bytesPerToken + request.Completion.Resume.Tokens
	return float64(baseUnits + tokens)
}

// RecordStart records that a request of that many units was sent to server, and returns its ID for the other
// Record methods.
//
// The caller of this method keeps blocked true while the receiver of the answer does not read it.
func (pool Pool) RecordStart(server Server, units float64, now time.Time, blocked *atomic.Bool) uint64 {
	expected := pool.health.Load().AnswerTime.Expected(units)
	_, id := rcu.Apply(server.Observation, func(observation Observation) (Observation, uint64) {
		return observation.WithStart(now, expected, blocked)
	})
	return id
}

// RecordAnswer records that the first token or the complete answer of a request of that many units arrived.
//
// For the server's slowdown, an answer that is faster than usual counts as one in the
// usual time, since its prompt may have been cached.
func (pool Pool) RecordAnswer(server Server, id uint64, took time.Duration, units float64, now time.Time) {
	expected := pool.health.Load().AnswerTime.Expected(units)
	pool.health.Update(func(health Health) Health {
		health.AnswerTime = health.AnswerTime.WithSample(took, units, answerQuantile)
		return health
	})
	if expected <= 0 {
		pool.RecordUnblocked(server, id, now)
		return
	}
	ratio := max(1, float64(took)/float64(expected))
	pool.applySample(server, now, ratio, server.Observation.Update(func(observation Observation) Observation {
		return observation.WithProgress(id, now, 0).WithSample(now, ratio)
	}))
}

// RecordProgress records that a number of further tokens of an answer took the given time.
func (pool Pool) RecordProgress(server Server, id uint64, tokens int, took time.Duration, now time.Time) {
	expected := pool.health.Load().TokenTime.Expected(float64(tokens))
	pool.health.Update(func(health Health) Health {
		health.TokenTime = health.TokenTime.WithSample(took, float64(tokens), tokenQuantile)
		return health
	})
	if expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	pool.applySample(server, now, ratio, server.Observation.Update(func(observation Observation) Observation {
		return observation.WithProgress(id, now, expected+progressSlack).WithSample(now, ratio)
	}))
}

// RecordUnblocked records that the receiver of an answer reads it again after having blocked it.
func (pool Pool) RecordUnblocked(server Server, id uint64, now time.Time) {
	server.Observation.Update(func(observation Observation) Observation { return observation.WithProgress(id, now, 0) })
}

// RecordFailure records that work failed at a server.
//
// A failure counts as a sample with the largest ratio: a server that fails fast has the
// least load and would otherwise get all new work.
func (pool Pool) RecordFailure(server Server, now time.Time) {
	pool.applySample(server, now, maxSampleRatio, server.Observation.Update(func(observation Observation) Observation {
		return observation.WithSample(now, maxSampleRatio)
	}))
}

// RecordEnd records that a request ended, with or without an answer.
//
// A request that ends while it is overdue counts as a sample: otherwise, the evidence
// against a slow server would disappear when a hedge at another server answers first and
// the request is cancelled.
func (pool Pool) RecordEnd(server Server, id uint64, now time.Time) {
	observation, ratio := rcu.Apply(server.Observation, func(observation Observation) (Observation, float64) {
		return observation.WithEnd(id, now)
	})
	if ratio > 0 {
		pool.applySample(server, now, ratio, observation)
	}
}

// applySample ejects or restores a server after a sample, or makes its next probe due at once if the sample
// was fast.
//
// A server is restored only after a sample, since an estimate that has only decayed is
// no evidence that the server is fast again.
func (pool Pool) applySample(server Server, now time.Time, ratio float64, observation Observation) {
	slowdown := observation.Slowdown(now)
	if !pool.health.Load().IsEjected(server.Name) {
		pool.eject(server, slowdown, now)
		return
	}
	switch {
	case slowdown <= restoreSlowdown:
		pool.health.Update(func(health Health) Health { return health.WithRestored(server.Name) })
	case ratio <= restoreSlowdown && observation.InFlight <= 1:
		pool.health.Update(func(health Health) Health { return health.WithProbeDue(server.Name) })
	}
}

// eject ejects a server that is too slow, if the bound on ejected servers allows it, and
// raises the server's estimate to slowdown until samples lower it.
func (pool Pool) eject(server Server, slowdown float64, now time.Time) {
	if slowdown < ejectSlowdown || !pool.has(server.Name) {
		return
	}
	_, ejected := rcu.Apply(pool.health, func(health Health) (Health, bool) {
		return health.WithEjected(server.Name, now, len(pool.servers))
	})
	if ejected {
		server.Observation.Update(func(observation Observation) Observation { return observation.WithMinSlowdown(now, slowdown) })
	}
}

// claimProbe reports whether the caller's request becomes the probe that is due; of several concurrent requests,
// only one does.
func (pool Pool) claimProbe(server string, now time.Time, after time.Duration) bool {
	_, due := rcu.Apply(pool.health, func(health Health) (Health, bool) {
		return health.WithProbe(server, now, after)
	})
	return due
}
