package placement

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

const (
	// sampleWeight is the weight of a new sample in the moving average of a server's slowdown.
	sampleWeight = 0.3
	// failureHalfLife is the time after which the weight of a failure has halved.
	failureHalfLife = 2 * time.Second
	// slowdownHalfLife is the time after which an observed slowdown has halved, so that
	// a slow server, which gets no work, is tried again.
	slowdownHalfLife = 2 * time.Second
	// toleratedSlowdown is the slowdown that other tenants of the server's host usually cause for short times.
	toleratedSlowdown = 2
	// loadTTL is how long a load reported by a server is used.
	loadTTL = 500 * time.Millisecond
	// minPeerCalls is the average below which a server counts as having no calls of other entries.
	minPeerCalls = 0.01
	// reopenSpread is the part of the time for which a server has asked for no calls by which entries come back later at
	// most, up to maxReopenSpread, so that they do not all come back at once.
	reopenSpread    = 0.2
	maxReopenSpread = time.Second
	// minDownTime is the time without work for a server after the first failure to reach it.
	minDownTime = 400 * time.Millisecond
	// maxDownTime bounds the time without work, which doubles with each further failure.
	maxDownTime = 3 * time.Second
	// unlistedTTL is how long an observation is kept after its server was listed last. A server whose registration was overwritten is listed
	// again soon, and is the same as before.
	unlistedTTL = time.Minute
)

// Observation is an entry's record of one incarnation of a server. It is immutable.
type Observation struct {
	// running is the number of this entry's calls at the server.
	running int
	// unreadTokens is the number of uncached prompt tokens of this entry's calls that the server has not
	// processed yet.
	unreadTokens int
	// peerCalls is the averaged number of calls of other entries at the server.
	peerCalls float64
	// failures is the number of failures, decayed up to failedAt, the time of the last one.
	failures float64
	failedAt time.Duration
	// downUntil is the time until which the server gets no work, and connectFailures is the number of
	// consecutive failures to reach it.
	downUntil       time.Duration
	connectFailures int
	// closedUntil is the time until which the server has asked this entry for no calls.
	closedUntil time.Duration
	// unlistedAt is when the server was missed first in the list of servers, 0 while it is listed.
	unlistedAt time.Duration
	// slowdown is the moving average at slowdownAt of the ratio of answer time to expected time.
	slowdown   float64
	slowdownAt time.Duration
	// load is the load that the server last reported, at loadAt.
	load   call.ServerLoad
	loadAt time.Duration
	// garbling estimates the part of the server's answers that are malformed.
	garbling garbling
	// work is what is known of the work at the server.
	work work.Server
}

// Running returns the number of this entry's calls at the server.
func (observation Observation) Running() int { return observation.running }

// PeerCalls returns the averaged number of calls of other entries at the server.
func (observation Observation) PeerCalls() float64 { return observation.peerCalls }

// Down reports whether the server gets no work because it could not be reached recently.
func (observation Observation) Down(now time.Duration) bool { return now < observation.downUntil }

// WithSent returns the observation after a call with a number of uncached prompt tokens was sent.
func (observation Observation) WithSent(tokens int) Observation {
	observation.running++
	observation.unreadTokens += tokens
	return observation
}

// WithPromptRead returns the observation after the server processed the uncached tokens of a call's prompt,
// or the call ended before that.
func (observation Observation) WithPromptRead(tokens int) Observation {
	observation.unreadTokens = max(0, observation.unreadTokens-tokens)
	return observation
}

// WithEnd returns the observation after a call ended.
func (observation Observation) WithEnd() Observation {
	observation.running = max(0, observation.running-1)
	return observation
}

// WithAnswer returns the observation after an answer that took ratio times as long as expected.
func (observation Observation) WithAnswer(ratio float64, now time.Duration) Observation {
	current := observation.Slowdown(now)
	observation.slowdown = current + sampleWeight*(min(ratio, 20)-current)
	observation.slowdownAt = now
	observation.connectFailures = 0
	observation.downUntil = 0
	return observation
}

// WithLoad returns the observation after the server reported its load.
func (observation Observation) WithLoad(load call.ServerLoad, now time.Duration) Observation {
	observation.load, observation.loadAt = load, now
	return observation
}

// WithPeerCalls returns the observation after a report of the number of calls of other entries at the server. Weight is
// that of the report in the moving average, 1 for no average.
//
// A single report says little where calls are shorter than reports take: every entry would avoid, for the time of one
// report, the servers that happened to be busy when it was made, and meet at the others.
func (observation Observation) WithPeerCalls(running int, weight float64) Observation {
	observation.peerCalls += weight * (float64(running) - observation.peerCalls)
	if observation.peerCalls < minPeerCalls {
		observation.peerCalls = 0
	}
	return observation
}

// WithUnreachable returns the observation after another entry found that no process listens at the server's address.
func (observation Observation) WithUnreachable(until time.Duration) Observation {
	observation.downUntil = max(observation.downUntil, until)
	return observation
}

// ClosedUntil returns the time until which the server has asked this entry for no calls.
func (observation Observation) ClosedUntil() time.Duration { return observation.closedUntil }

// WithListing returns the observation after the server was found in the list of servers, or missed in it.
func (observation Observation) WithListing(listed bool, now time.Duration) Observation {
	switch {
	case listed:
		observation.unlistedAt = 0
	case observation.unlistedAt == 0:
		observation.unlistedAt = now
	}
	return observation
}

// Expired reports whether the server has ended as far as this entry can tell: it has not been listed for unlistedTTL, the time for which it
// has asked for no calls is over, and no call of this entry is there.
func (observation Observation) Expired(now time.Duration) bool {
	return observation.unlistedAt > 0 && now-observation.unlistedAt >= unlistedTTL && now >= observation.closedUntil && observation.running == 0
}

// WithRetryAfter returns the observation after the server turned a call away and asked for no calls for a time. Draw is a random
// number in [0, 1) that spreads the return of the entries. A shorter time does not shorten an earlier one.
func (observation Observation) WithRetryAfter(wait time.Duration, draw float64, now time.Duration) Observation {
	spread := min(reopenSpread*wait.Seconds(), maxReopenSpread.Seconds())
	observation.closedUntil = max(observation.closedUntil, now+wait+time.Duration(draw*spread*float64(time.Second)))
	return observation
}

// WithFailure returns the observation after a call that reached the server failed there.
func (observation Observation) WithFailure(now time.Duration) Observation {
	observation.failures = observation.Failures(now) + 1
	observation.failedAt = now
	return observation
}

// WithOutcome returns the observation after an attempt that failed with a cause, empty for one that did not fail. Answered reports whether it
// had a successful answer; one with another status says nothing about whether the server garbles.
func (observation Observation) WithOutcome(cause call.Cause, answered bool, now time.Duration) Observation {
	switch cause {
	case "":
		if answered {
			return observation.WithSound(now)
		}
	case call.CauseConnect:
		return observation.WithConnectFailure(now)
	case call.CauseMalformed:
		return observation.WithMalformed(now)
	case call.CauseReset, call.CauseBusy, call.CauseStatus, call.CauseIncomplete:
		return observation.WithFailure(now)
	}
	return observation
}

// WithMalformed returns the observation after an answer that was malformed, or became so.
func (observation Observation) WithMalformed(now time.Duration) Observation {
	observation.garbling = observation.garbling.withMalformed(now)
	return observation
}

// WithSound returns the observation after a complete successful answer.
func (observation Observation) WithSound(now time.Duration) Observation {
	observation.garbling = observation.garbling.withSound(now)
	return observation
}

// MalformedPart returns the estimated part of the server's answers that are malformed, 0 if none was recently.
func (observation Observation) MalformedPart(now time.Duration) float64 {
	return observation.garbling.part(now)
}

// WithConnectFailure returns the observation after the server could not be reached; it changes nothing while
// Down.
func (observation Observation) WithConnectFailure(now time.Duration) Observation {
	if observation.Down(now) {
		return observation
	}
	down := min(maxDownTime, minDownTime<<min(observation.connectFailures, 8))
	observation.connectFailures++
	observation.downUntil = now + down
	return observation
}

// Failures returns the sum of the weights of all failures; the weight of a failure is 1 at first and halves
// every 2 s.
func (observation Observation) Failures(now time.Duration) float64 {
	if observation.failures == 0 {
		return 0
	}
	return observation.failures * decay.ByHalfLife(now-observation.failedAt, failureHalfLife)
}

// Slowdown returns the ratio of answer time to expected time, at least 1, decayed to now.
func (observation Observation) Slowdown(now time.Duration) float64 {
	current := 1.0
	if observation.slowdown > 1 {
		current += (observation.slowdown - 1) * decay.ByHalfLife(now-observation.slowdownAt, slowdownHalfLife)
	}
	return current
}

// costFactor returns the factor by which the slowdown raises the cost of a server.
// A slowdown up to toleratedSlowdown is usually over before the next call and does not count.
func (observation Observation) costFactor(now time.Duration) float64 {
	return max(1, observation.Slowdown(now)/toleratedSlowdown)
}

// waitingCalls returns the number of calls waiting at the server, 0 without a recent report of its load.
func (observation Observation) waitingCalls(now time.Duration) int {
	if now-observation.loadAt > loadTTL {
		return 0
	}
	return observation.load.Waiting
}

// totalCalls returns the number of calls at the server, by this entry's count or the server's report if that
// is higher.
func (observation Observation) totalCalls(now time.Duration) float64 {
	counted := float64(observation.running) + observation.peerCalls
	if now-observation.loadAt > loadTTL {
		return counted
	}
	return max(counted, float64(observation.load.Running))
}

// ownCalls returns the number of this entry's calls at the server, or the number of calls that the server reported
// recently if that is higher.
func (observation Observation) ownCalls(now time.Duration) float64 {
	if now-observation.loadAt > loadTTL {
		return float64(observation.running)
	}
	return max(float64(observation.running), float64(observation.load.Running))
}
