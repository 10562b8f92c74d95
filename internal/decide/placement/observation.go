package placement

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

const (
	// learnRate is the weight of a new answer in the slowness of a server.
	learnRate = 0.3
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 2 * time.Second
	// slownessHalfLife is the time after which an observed slowness counts half,
	// so that a server which gets no work is tried again.
	slownessHalfLife = 2 * time.Second
	// usualSlowness is what servers are slowed for moments by their neighbours.
	usualSlowness = 2
	// loadLife is how long a stated load is believed.
	loadLife = 500 * time.Millisecond
	// downTime is the least time for which a server that was not reached gets no work.
	downTime = 400 * time.Millisecond
	// downTimeLimit bounds the doubling of downTime.
	downTimeLimit = 3 * time.Second
)

// Observation is what an entry knows of one incarnation of a server.
type Observation struct {
	// running is the number of own calls at the server.
	running int
	// unread is the number of prompt tokens of own calls that have not begun.
	unread int
	// peers is the number of calls that other entries have there.
	peers int
	// failures is the decayed number of failures at failedAt.
	failures float64
	failedAt time.Duration
	// downUntil is until when the server gets no work, after misses in a row.
	downUntil time.Duration
	misses    int
	// slowness is the time of answers in relation to the expected one, at slowAt.
	slowness float64
	slowAt   time.Duration
	load     call.ServerLoad
	loadAt   time.Duration
}

// Running returns the number of own calls at the server.
func (observation Observation) Running() int { return observation.running }

// PeerCalls returns the number of calls that other entries have at the server.
func (observation Observation) PeerCalls() int { return observation.peers }

// Down reports whether the server was not reached lately.
func (observation Observation) Down(now time.Duration) bool { return now < observation.downUntil }

// WithSent returns the observation after a call with that many unread prompt tokens was sent.
func (observation Observation) WithSent(unread int) Observation {
	observation.running++
	observation.unread += unread
	return observation
}

// WithPromptRead returns the observation after a call began, so that its prompt is read.
func (observation Observation) WithPromptRead(unread int) Observation {
	observation.unread = max(0, observation.unread-unread)
	return observation
}

// WithEnd returns the observation after a call ended.
func (observation Observation) WithEnd() Observation {
	observation.running = max(0, observation.running-1)
	return observation
}

// WithAnswer returns the observation after an answer that took so many times as long as expected.
func (observation Observation) WithAnswer(ratio float64, now time.Duration) Observation {
	current := observation.Slowdown(now)
	observation.slowness = current + learnRate*(min(ratio, 20)-current)
	observation.slowAt = now
	observation.misses = 0
	observation.downUntil = 0
	return observation
}

// WithLoad returns the observation after the server stated its load.
func (observation Observation) WithLoad(load call.ServerLoad, now time.Duration) Observation {
	observation.load, observation.loadAt = load, now
	return observation
}

// WithPeerCalls returns the observation with the number of calls that other entries have at the server.
func (observation Observation) WithPeerCalls(running int) Observation {
	observation.peers = running
	return observation
}

// WithFailure returns the observation after the server failed a call that had reached it.
func (observation Observation) WithFailure(now time.Duration) Observation {
	observation.failures = observation.Failures(now) + 1
	observation.failedAt = now
	return observation
}

// WithConnectFailure returns the observation after the server was not reached.
func (observation Observation) WithConnectFailure(now time.Duration) Observation {
	if observation.Down(now) {
		return observation
	}
	down := min(downTimeLimit, downTime<<min(observation.misses, 8))
	observation.misses++
	observation.downUntil = now + down
	return observation
}

// Failures returns the decayed number of failures.
func (observation Observation) Failures(now time.Duration) float64 {
	if observation.failures == 0 {
		return 0
	}
	return observation.failures * halved(now-observation.failedAt, failureHalfLife)
}

// Slowdown returns the time that answers take in relation to the expected one, at least 1.
func (observation Observation) Slowdown(now time.Duration) float64 {
	current := 1.0
	if observation.slowness > 1 {
		current += (observation.slowness - 1) * halved(now-observation.slowAt, slownessHalfLife)
	}
	return current
}

// drag is the factor by which slowness raises the cost of a server. Short
// slowness, which passes before the next call, counts nothing.
func (observation Observation) drag(now time.Duration) float64 {
	return max(1, observation.Slowdown(now)/usualSlowness)
}

// waiting returns the number of calls that wait at the server, as far as it said lately.
func (observation Observation) waiting(now time.Duration) int {
	if now-observation.loadAt > loadLife {
		return 0
	}
	return observation.load.Waiting
}

// total returns the number of calls at the server.
func (observation Observation) total(now time.Duration) int {
	known := observation.running + observation.peers
	if now-observation.loadAt > loadLife {
		return known
	}
	return max(known, observation.load.Running)
}

func halved(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, elapsed.Seconds()) / halfLife.Seconds())
}
