package backend

import (
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// baseUnits is added to the tokens of a prompt, for the fixed cost of starting an answer.
const baseUnits = 64

// bytesPerToken is the usual length of a token in a prompt whose tokens were not counted.
const bytesPerToken = 4

// progressSlack is added to the time in which progress is expected, since short
// pauses of a stream do not show that its server is slow.
const progressSlack = 10 * time.Millisecond

// Pool is the servers of one service, with what the entry knows of them together.
//
// Its servers belong to a snapshot; its cells pass from one snapshot to the next.
type Pool struct {
	membership
	health   *rcu.Cell[Health]
	affinity Affinity
}

// membership is the candidates of a selector, by name and by failure domain.
type membership struct {
	servers []Server
	index   map[string]int
	domains map[string][]int
}

func newMembership(servers []Server) membership {
	members := membership{servers: servers, index: make(map[string]int, len(servers)), domains: map[string][]int{}}
	for i := range servers {
		members.index[servers[i].Name] = i
		members.domains[servers[i].Domain] = append(members.domains[servers[i].Domain], i)
	}
	return members
}

func newPool(members membership, previous Pool) Pool {
	if previous.health == nil {
		return Pool{membership: members, health: rcu.New(Health{}), affinity: NewAffinity()}
	}
	if previous.health.Load().EjectedCount() > 0 {
		previous.health.Update(func(health Health) Health { return health.WithMembers(members.has) })
	}
	return Pool{membership: members, health: previous.health, affinity: previous.affinity}
}

func (members membership) has(server string) bool {
	_, ok := members.index[server]
	return ok
}

// Health returns what the entry knows of the servers together.
func (pool Pool) Health() Health { return pool.health.Load() }

// Affinity returns the index of cached prefixes, for cache events of the servers.
func (pool Pool) Affinity() Affinity { return pool.affinity }

// WorkUnits returns the amount of work up to the first token or the answer.
func WorkUnits(request call.Request) float64 {
	tokens := len(request.Completion.Prompt)/bytesPerToken + request.Completion.Resume.Tokens
	return float64(baseUnits + tokens)
}

// RecordStart records that a request was sent to server, and returns its number there.
//
// The caller of this function sets blocked while the answer waits for its receiver.
func (pool Pool) RecordStart(server Server, units float64, now time.Time, blocked *atomic.Bool) uint64 {
	expected := pool.health.Load().AnswerTime.Expected(units)
	_, id := rcu.Apply(server.Observation, func(observation Observation) (Observation, uint64) {
		return observation.WithStart(now, expected, blocked)
	})
	return id
}

// RecordAnswer records that the first token or the answer of a request came after units of work.
//
// An answer faster than usual says little, since the prompt may have been
// cached, and counts as the usual time.
func (pool Pool) RecordAnswer(server Server, id uint64, took time.Duration, units float64, now time.Time) {
	expected := pool.health.Load().AnswerTime.Expected(units)
	pool.health.Update(func(health Health) Health {
		health.AnswerTime = health.AnswerTime.WithSample(took, units, answerQuantile)
		return health
	})
	if expected <= 0 {
		pool.RecordResume(server, id, now)
		return
	}
	ratio := max(1, float64(took)/float64(expected))
	pool.sampled(server, now, ratio, server.Observation.Update(func(observation Observation) Observation {
		return observation.WithProgress(id, now, 0).WithSample(now, ratio)
	}))
}

// RecordProgress records that tokens of an answer came within the given time.
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
	pool.sampled(server, now, ratio, server.Observation.Update(func(observation Observation) Observation {
		return observation.WithProgress(id, now, expected+progressSlack).WithSample(now, ratio)
	}))
}

// RecordResume records that the receiver of an answer takes it again, after it had blocked.
func (pool Pool) RecordResume(server Server, id uint64, now time.Time) {
	server.Observation.Update(func(observation Observation) Observation { return observation.WithProgress(id, now, 0) })
}

// RecordFailure records that a server did not do its work.
//
// It counts as the slowest sample: a server that fails fast has the least load
// and would otherwise draw all new work.
func (pool Pool) RecordFailure(server Server, now time.Time) {
	pool.sampled(server, now, maxSample, server.Observation.Update(func(observation Observation) Observation {
		return observation.WithSample(now, maxSample)
	}))
}

// RecordEnd records that a request ended, with or without an answer.
//
// Work that is ended while it is overdue counts as a sample: without it, the
// evidence against a slow server would end with the work that a hedge replaced.
func (pool Pool) RecordEnd(server Server, id uint64, now time.Time) {
	observation, ratio := rcu.Apply(server.Observation, func(observation Observation) (Observation, float64) {
		return observation.WithEnd(id, now)
	})
	if ratio > 0 {
		pool.sampled(server, now, ratio, observation)
	}
}

// sampled ejects or restores a server after a sample of its time.
//
// Only samples restore: an estimate that merely aged says nothing of the server.
func (pool Pool) sampled(server Server, now time.Time, ratio float64, observation Observation) {
	slowness := observation.Slowdown(now)
	if !pool.health.Load().Ejected(server.Name) {
		pool.eject(server, slowness, now)
		return
	}
	switch {
	case slowness <= restoreAt:
		pool.health.Update(func(health Health) Health { return health.WithRestored(server.Name) })
	case ratio <= restoreAt && observation.InFlight <= 1:
		pool.health.Update(func(health Health) Health { return health.WithProbeDue(server.Name) })
	}
}

// eject ejects a server that is too slow, and keeps its estimate there until samples lower it.
func (pool Pool) eject(server Server, slowness float64, now time.Time) {
	if slowness < ejectAt || !pool.has(server.Name) {
		return
	}
	_, ejected := rcu.Apply(pool.health, func(health Health) (Health, bool) {
		return health.WithEjected(server.Name, now, len(pool.servers))
	})
	if ejected {
		server.Observation.Update(func(observation Observation) Observation { return observation.WithMinSlowdown(now, slowness) })
	}
}

// claim takes the probe that is due, which only one of several racing requests gets.
func (pool Pool) claim(server string, now time.Time, after time.Duration) bool {
	_, due := rcu.Apply(pool.health, func(health Health) (Health, bool) {
		return health.WithProbe(server, now, after)
	})
	return due
}
