package backend

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the estimate: one answer that takes ten
	// times the usual time ejects a server, one that takes three times does not.
	sampleWeight = 0.3
	// maxSampleRatio bounds one sample, so that a few good samples outweigh a single stall.
	maxSampleRatio = 10
	// slowdownHalfLife is the half-life with which an estimate without new samples decays to 1.
	slowdownHalfLife = 5 * time.Second
	// minOverdueRatio is the multiple of the expected time from which unfinished work counts
	// as evidence of a slow server; below it, waiting for a slot or a long prompt may be
	// the cause.
	minOverdueRatio = 2
	// unfinishedFactor is the assumed total time of work that ended unfinished while overdue,
	// as a multiple of the time that it had taken. The real total is not known, only that it
	// is longer than that time.
	unfinishedFactor = 2
)

// Observation is the state that one entry keeps for one backend server. It is immutable.
type Observation struct {
	// InFlight is the number of this entry's requests that the server is running.
	InFlight int
	// Leaving reports whether the server must get no new work. It is kept here as well as in
	// the fleet, so that requests that were queued with an older fleet observe it.
	Leaving bool
	// Report is the latest load report of the server.
	Report LoadReport

	// slowdown is the estimate at sampledAt, the time of the latest sample, zero for none.
	slowdown      float64
	sampledAt     time.Time
	peerSlowdown  peerSlowdown
	lastRequestID uint64
	// unfinished lists this entry's requests at the server, the one that has been without progress for
	// longest first.
	unfinished []pendingRequest
}

// pendingRequest is a request that was sent to the server and has not ended.
type pendingRequest struct {
	id uint64
	// progressedAt is when the request was sent, or the server last made progress with it.
	progressedAt time.Time
	// expectedTime is the expected time from progressedAt to the next progress, 0 if it is not known.
	expectedTime time.Duration
	// blocked is true while the caller does not read the answer, so that the server cannot make progress.
	blocked *atomic.Bool
}

// WithStart returns the observation after a request was sent, and the ID of the request in this observation.
//
// Expected is the expected time to the first token or to the answer, 0 if it is not
// known. While blocked is true, the request's age is not evidence of a slow server.
func (observation Observation) WithStart(now time.Time, expected time.Duration, blocked *atomic.Bool) (Observation, uint64) {
	observation.InFlight++
	observation.lastRequestID++
	request := pendingRequest{id: observation.lastRequestID, progressedAt: now, expectedTime: expected, blocked: blocked}
	observation.unfinished = append(slices.Clip(observation.unfinished), request)
	return observation, request.id
}

// WithProgress returns the observation after the server made progress with a request.
//
// Expected is the expected time to the next progress, 0 if it is not known.
func (observation Observation) WithProgress(id uint64, now time.Time, expected time.Duration) Observation {
	next := make([]pendingRequest, 0, len(observation.unfinished))
	progressed := pendingRequest{}
	for _, pending := range observation.unfinished {
		if pending.id == id {
			progressed = pending
			continue
		}
		next = append(next, pending)
	}
	if progressed.id == 0 {
		return observation
	}
	progressed.progressedAt, progressed.expectedTime = now, expected
	observation.unfinished = append(next, progressed)
	return observation
}

// WithEnd returns the observation after a request ended. If the request was overdue, its end
// counts as a sample, and WithEnd also returns that sample as a multiple of the expected
// time, else 0.
func (observation Observation) WithEnd(id uint64, now time.Time) (Observation, float64) {
	observation.InFlight--
	ratio := 0.0
	observation.unfinished = slices.DeleteFunc(slices.Clone(observation.unfinished), func(pending pendingRequest) bool {
		if pending.id == id {
			ratio = min(unfinishedFactor*pending.overdueRatio(now), maxSampleRatio)
		}
		return pending.id == id
	})
	if ratio > 0 {
		observation = observation.WithSample(now, ratio)
	}
	return observation, ratio
}

// WithSample returns the observation after work that took ratio times the usual time.
func (observation Observation) WithSample(now time.Time, ratio float64) Observation {
	ratio = min(max(ratio, 1.0/maxSampleRatio), maxSampleRatio)
	previous := max(observation.slowdown, 1.0/maxSampleRatio)
	if observation.sampledAt.IsZero() {
		previous = 1
	}
	observation.slowdown = previous + sampleWeight*(ratio-previous)
	observation.sampledAt = now
	return observation
}

// WithMinSlowdown returns the observation with an estimated slowdown of at least slowdown.
func (observation Observation) WithMinSlowdown(now time.Time, slowdown float64) Observation {
	if observation.slowdown < slowdown {
		observation.slowdown, observation.sampledAt = slowdown, now
	}
	return observation
}

// WithLeaving returns the observation with Leaving set.
func (observation Observation) WithLeaving(leaving bool) Observation {
	observation.Leaving = leaving
	return observation
}

// WithLoadReport returns the observation with a load report, unless it has a newer one.
func (observation Observation) WithLoadReport(report LoadReport) Observation {
	if report.At.After(observation.Report.At) {
		observation.Report = report
	}
	return observation
}

// Slowdown returns the server's time per unit of work as a multiple of the usual time of the service's servers.
//
// It is the estimate from samples, decayed since the latest one, or the ratio of an overdue request if that
// is larger.
func (observation Observation) Slowdown(now time.Time) float64 {
	slowdown := 1.0
	if !observation.sampledAt.IsZero() {
		slowdown = decayed(observation.slowdown, now.Sub(observation.sampledAt))
	}
	return max(slowdown, observation.overdueRatio(now))
}

// decayed returns the slowdown to assume when the last sample of an estimate is age old.
func decayed(slowdown float64, age time.Duration) float64 {
	return 1 + (slowdown-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// SampledWithin reports whether the latest sample is at most maxAge old.
func (observation Observation) SampledWithin(now time.Time, maxAge time.Duration) bool {
	return !observation.sampledAt.IsZero() && now.Sub(observation.sampledAt) <= maxAge
}

// Load returns the estimated number of requests at the server. The number of other entries'
// requests is taken from the server's load report, with less weight the older the report is.
func (observation Observation) Load(now time.Time) float64 {
	ownRequests := float64(observation.InFlight)
	return ownRequests + observation.Report.weight(now)*max(0, float64(observation.Report.Requests())-ownRequests)
}

// overdueRatio returns the overdue ratio of the request that has been longest without
// progress, among those that have an expected time and are not blocked.
func (observation Observation) overdueRatio(now time.Time) float64 {
	for _, oldest := range observation.unfinished {
		if oldest.expectedTime > 0 && !oldest.blocked.Load() {
			return oldest.overdueRatio(now)
		}
	}
	return 0
}

// overdueRatio returns the time since the last progress as a multiple of the expected
// time, or 0 if the request is not overdue.
func (pendingRequest pendingRequest) overdueRatio(now time.Time) float64 {
	if pendingRequest.expectedTime <= 0 || pendingRequest.blocked.Load() {
		return 0
	}
	ratio := float64(now.Sub(pendingRequest.progressedAt)) / float64(pendingRequest.expectedTime)
	if ratio < minOverdueRatio {
		return 0
	}
	return min(ratio, maxSampleRatio)
}
