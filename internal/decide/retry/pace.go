package retry

import (
	"slices"
	"time"
)

const (
	// paceSamples is how many recent times the quantile is taken over.
	paceSamples = 64
	// paceLeast is how many times must be known before work is hedged.
	paceLeast = 8
	// hedgeQuantile is the share of recent first-token or answer times that a
	// hedge waits for, so that about one request in twenty is hedged.
	hedgeQuantile = 0.95
	// hedgeMargin stretches the quantile. Without it, services whose times hardly
	// differ hedged every request and spent the whole budget on it.
	hedgeMargin = 1.25
	// gapWeight is the weight of a new stream's mean gap in the usual gap.
	gapWeight = 1.0 / 16

	// stallFactor is how many usual gaps a stream may pause. Engines pause for a
	// few gaps while they compute another request's prompt.
	stallFactor = 20
	// StallFloor is the least pause that counts as a stall, above the pauses of
	// servers that other tenants slow down for a moment.
	StallFloor = 2 * time.Second
	// firstFactor is how many hedge delays the first token may take.
	firstFactor = 8
	// firstUnknown is the longest wait for a first token or an answer while too little is known.
	firstUnknown = 10 * time.Second
)

// LatencyStats is what is usual for a service; the zero value knows nothing.
type LatencyStats struct {
	firsts [paceSamples]time.Duration
	count  int
	gap    time.Duration
}

// WithFirstToken returns the pace after a first token, or an answer of a plain service.
func (latencyStats LatencyStats) WithFirstToken(first time.Duration) LatencyStats {
	latencyStats.firsts[latencyStats.count%paceSamples] = first
	latencyStats.count++
	return latencyStats
}

// WithAborted returns the pace after a try that was ended after elapsed while it waited.
//
// Its time would have been longer than the quantile, so the quantile itself is
// taken: leaving it out would lower the quantile with each hedge, and taking
// the time so far would raise it without end while many servers stall.
func (latencyStats LatencyStats) WithAborted(elapsed time.Duration) LatencyStats {
	usual, known := latencyStats.quantile()
	if !known || elapsed < usual {
		return latencyStats
	}
	return latencyStats.WithFirstToken(usual)
}

// WithGap returns the pace after a stream with that mean gap between chunks.
func (latencyStats LatencyStats) WithGap(gap time.Duration) LatencyStats {
	if latencyStats.gap == 0 {
		latencyStats.gap = gap
		return latencyStats
	}
	latencyStats.gap += time.Duration(float64(gap-latencyStats.gap) * gapWeight)
	return latencyStats
}

// HedgeDelay returns the time after which a try is slow, or false while too little is known.
func (latencyStats LatencyStats) HedgeDelay() (time.Duration, bool) {
	usual, known := latencyStats.quantile()
	return time.Duration(hedgeMargin * float64(usual)), known
}

func (latencyStats LatencyStats) quantile() (time.Duration, bool) {
	if latencyStats.count < paceLeast {
		return 0, false
	}
	sorted := slices.Clone(latencyStats.firsts[:min(latencyStats.count, paceSamples)])
	slices.Sort(sorted)
	return sorted[int(hedgeQuantile*float64(len(sorted)))], true
}

// StallTimeout returns the longest pause before the next chunk of a stream that has started.
func (latencyStats LatencyStats) StallTimeout() time.Duration {
	return max(StallFloor, stallFactor*latencyStats.gap)
}

// FirstTokenTimeout returns the longest wait for a stream's first chunk, or for an answer.
func (latencyStats LatencyStats) FirstTokenTimeout() time.Duration {
	delay, known := latencyStats.HedgeDelay()
	if !known {
		return firstUnknown
	}
	return max(StallFloor, firstFactor*delay)
}
