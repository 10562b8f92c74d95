package backend

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// sampleWeight is the share of a new sample in the estimate: one answer at ten
	// times the usual time is enough to eject a server, one at three times is not.
	sampleWeight = 0.3
	// maxSampleRatio bounds one sample, so that a single stall is forgotten after a few good samples.
	maxSampleRatio = 10
	// slowdownHalfLife is how fast an estimate without samples returns to that of the equals.
	slowdownHalfLife = 5 * time.Second
	// minOverdueRatio is the multiple of the expected time from which unfinished work counts as
	// evidence; below it the wait for a slot and the length of a prompt explain the age.
	minOverdueRatio = 2
	// unfinishedFactor is the time that work which was ended while overdue would have
	// taken, as a multiple of its age: it is known to be longer than that only.
	unfinishedFactor = 2
)

// Observation is what one entry has seen of one backend server.
type Observation struct {
	// InFlight is the number of this entry's requests that the server is running.
	InFlight int
	// Leaving reports that the server takes no new work. It is kept here as well
	// as in the fleet, so that requests which queued on an older fleet see it.
	Leaving bool
	// Report is the newest load report of the server.
	Report Report

	slowdown float64
	sampledAt  time.Time
	peerSlowdown    peerSlowdown
	lastID     uint64
	// unfinished lists the work at the server, the longest without progress first.
	unfinished []pendingRequest
}

// pendingRequest is a request that the server is running.
type pendingRequest struct {
	id uint64
	// progressedAt is when the server last made progress with it.
	progressedAt time.Time
	// expectedTime is the time to the next progress, 0 when it is not known.
	expectedTime time.Duration
	// blocked reports that the caller is slow to take the answer.
	blocked *atomic.Bool
}

// WithStart returns the observation after a request was sent, and the request's number there.
//
// Expected is the time to the first token or to the answer, 0 when it is not
// known. While blocked holds true, the age of the work says nothing of the server.
func (observation Observation) WithStart(now time.Time, expected time.Duration, blocked *atomic.Bool) (Observation, uint64) {
	observation.InFlight++
	observation.lastID++
	added := pendingRequest{id: observation.lastID, progressedAt: now, expectedTime: expected, blocked: blocked}
	observation.unfinished = append(slices.Clip(observation.unfinished), added)
	return observation, added.id
}

// WithProgress returns the observation after the server made progress with a request.
//
// Expected is the time to the next progress, 0 when it is not known.
func (observation Observation) WithProgress(id uint64, now time.Time, expected time.Duration) Observation {
	next := make([]pendingRequest, 0, len(observation.unfinished))
	moved := pendingRequest{}
	for _, other := range observation.unfinished {
		if other.id == id {
			moved = other
			continue
		}
		next = append(next, other)
	}
	if moved.id == 0 {
		return observation
	}
	moved.progressedAt, moved.expectedTime = now, expected
	observation.unfinished = append(next, moved)
	return observation
}

// WithEnd returns the observation after a request ended, and the multiple of its
// expected time if it ended overdue, else 0.
func (observation Observation) WithEnd(id uint64, now time.Time) (Observation, float64) {
	observation.InFlight--
	ratio := 0.0
	observation.unfinished = slices.DeleteFunc(slices.Clone(observation.unfinished), func(work pendingRequest) bool {
		if work.id == id {
			ratio = min(unfinishedFactor*work.overdueRatio(now), maxSampleRatio)
		}
		return work.id == id
	})
	if ratio > 0 {
		observation = observation.WithSample(now, ratio)
	}
	return observation, ratio
}

// WithSample returns the observation after work that took ratio times the time of the server's equals.
func (observation Observation) WithSample(now time.Time, ratio float64) Observation {
	ratio = min(max(ratio, 1.0/maxSampleRatio), maxSampleRatio)
	before := max(observation.slowdown, 1.0/maxSampleRatio)
	if observation.sampledAt.IsZero() {
		before = 1
	}
	observation.slowdown = before + sampleWeight*(ratio-before)
	observation.sampledAt = now
	return observation
}

// WithSlowness returns the observation with an estimate of at least slowness.
func (observation Observation) WithSlowness(now time.Time, slowness float64) Observation {
	if observation.slowdown < slowness {
		observation.slowdown, observation.sampledAt = slowness, now
	}
	return observation
}

// WithLeaving returns the observation of a server that is leaving, or no longer is.
func (observation Observation) WithLeaving(leaving bool) Observation {
	observation.Leaving = leaving
	return observation
}

// WithReport returns the observation with a load report, unless a newer one is known.
func (observation Observation) WithReport(report Report) Observation {
	if report.At.After(observation.Report.At) {
		observation.Report = report
	}
	return observation
}

// Slowness returns the server's time per unit of work as a multiple of that of its equals.
func (observation Observation) Slowness(now time.Time) float64 {
	slowness := 1.0
	if !observation.sampledAt.IsZero() {
		slowness = decayed(observation.slowdown, now.Sub(observation.sampledAt))
	}
	return max(slowness, observation.overdueRatio(now))
}

// decayed returns an estimate of that age.
func decayed(slowness float64, age time.Duration) float64 {
	return 1 + (slowness-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// Seen reports whether work showed the server's speed within the time before now.
func (observation Observation) Seen(now time.Time, within time.Duration) bool {
	return !observation.sampledAt.IsZero() && now.Sub(observation.sampledAt) <= within
}

// Load returns the requests at the server, of which other entries' are known from its report.
func (observation Observation) Load(now time.Time) float64 {
	own := float64(observation.InFlight)
	return own + observation.Report.weight(now)*max(0, float64(observation.Report.Requests())-own)
}

// overdueRatio returns the age of the oldest progress as a multiple of its expected time.
func (observation Observation) overdueRatio(now time.Time) float64 {
	for _, oldest := range observation.unfinished {
		if oldest.expectedTime > 0 && !oldest.blocked.Load() {
			return oldest.overdueRatio(now)
		}
	}
	return 0
}

// overdueRatio returns the age of the progress as a multiple of its expected time, 0 when it is not late.
func (work pendingRequest) overdueRatio(now time.Time) float64 {
	if work.expectedTime <= 0 || work.blocked.Load() {
		return 0
	}
	ratio := float64(now.Sub(work.progressedAt)) / float64(work.expectedTime)
	if ratio < minOverdueRatio {
		return 0
	}
	return min(ratio, maxSampleRatio)
}
