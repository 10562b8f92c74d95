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
	// maxSample bounds one sample, so that a single stall is forgotten after a few good samples.
	maxSample = 10
	// slownessHalfLife is how fast an estimate without samples returns to that of the equals.
	slownessHalfLife = 5 * time.Second
	// minOverdue is the multiple of the expected time from which unfinished work counts as
	// evidence; below it the wait for a slot and the length of a prompt explain the age.
	minOverdue = 2
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
	Report LoadReport

	slowness float64
	sampled  time.Time
	heard    heard
	next     uint64
	// unfinished lists the work at the server, the longest without progress first.
	unfinished []work
}

// work is a request that the server is running.
type work struct {
	id uint64
	// since is when the server last made progress with it.
	since time.Time
	// expected is the time to the next progress, 0 when it is not known.
	expected time.Duration
	// blocked reports that the caller is slow to take the answer.
	blocked *atomic.Bool
}

// WithStart returns the observation after a request was sent, and the request's number there.
//
// Expected is the time to the first token or to the answer, 0 when it is not
// known. While blocked holds true, the age of the work says nothing of the server.
func (observation Observation) WithStart(now time.Time, expected time.Duration, blocked *atomic.Bool) (Observation, uint64) {
	observation.InFlight++
	observation.next++
	added := work{id: observation.next, since: now, expected: expected, blocked: blocked}
	observation.unfinished = append(slices.Clip(observation.unfinished), added)
	return observation, added.id
}

// WithProgress returns the observation after the server made progress with a request.
//
// Expected is the time to the next progress, 0 when it is not known.
func (observation Observation) WithProgress(id uint64, now time.Time, expected time.Duration) Observation {
	next := make([]work, 0, len(observation.unfinished))
	moved := work{}
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
	moved.since, moved.expected = now, expected
	observation.unfinished = append(next, moved)
	return observation
}

// WithEnd returns the observation after a request ended, and the multiple of its
// expected time if it ended overdue, else 0.
func (observation Observation) WithEnd(id uint64, now time.Time) (Observation, float64) {
	observation.InFlight--
	ratio := 0.0
	observation.unfinished = slices.DeleteFunc(slices.Clone(observation.unfinished), func(work work) bool {
		if work.id == id {
			ratio = min(unfinishedFactor*work.overdue(now), maxSample)
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
	ratio = min(max(ratio, 1.0/maxSample), maxSample)
	before := max(observation.slowness, 1.0/maxSample)
	if observation.sampled.IsZero() {
		before = 1
	}
	observation.slowness = before + sampleWeight*(ratio-before)
	observation.sampled = now
	return observation
}

// WithMinSlowdown returns the observation with an estimate of at least slowness.
func (observation Observation) WithMinSlowdown(now time.Time, slowness float64) Observation {
	if observation.slowness < slowness {
		observation.slowness, observation.sampled = slowness, now
	}
	return observation
}

// WithLeaving returns the observation of a server that is leaving, or no longer is.
func (observation Observation) WithLeaving(leaving bool) Observation {
	observation.Leaving = leaving
	return observation
}

// WithLoadReport returns the observation with a load report, unless a newer one is known.
func (observation Observation) WithLoadReport(report LoadReport) Observation {
	if report.At.After(observation.Report.At) {
		observation.Report = report
	}
	return observation
}

// Slowdown returns the server's time per unit of work as a multiple of that of its equals.
func (observation Observation) Slowdown(now time.Time) float64 {
	slowness := 1.0
	if !observation.sampled.IsZero() {
		slowness = faded(observation.slowness, now.Sub(observation.sampled))
	}
	return max(slowness, observation.overdue(now))
}

// faded returns an estimate of that age.
func faded(slowness float64, age time.Duration) float64 {
	return 1 + (slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// SampledWithin reports whether work showed the server's speed within the time before now.
func (observation Observation) SampledWithin(now time.Time, within time.Duration) bool {
	return !observation.sampled.IsZero() && now.Sub(observation.sampled) <= within
}

// Load returns the requests at the server, of which other entries' are known from its report.
func (observation Observation) Load(now time.Time) float64 {
	own := float64(observation.InFlight)
	return own + observation.Report.weight(now)*max(0, float64(observation.Report.Requests())-own)
}

// overdue returns the age of the oldest progress as a multiple of its expected time.
func (observation Observation) overdue(now time.Time) float64 {
	for _, oldest := range observation.unfinished {
		if oldest.expected > 0 && !oldest.blocked.Load() {
			return oldest.overdue(now)
		}
	}
	return 0
}

// overdue returns the age of the progress as a multiple of its expected time, 0 when it is not late.
func (work work) overdue(now time.Time) float64 {
	if work.expected <= 0 || work.blocked.Load() {
		return 0
	}
	ratio := float64(now.Sub(work.since)) / float64(work.expected)
	if ratio < minOverdue {
		return 0
	}
	return min(ratio, maxSample)
}
