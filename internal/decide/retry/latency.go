package retry

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of recent latencies that the quantile is taken over.
	latencySamples = 64
	// minLatencySamples is the number of latencies needed before requests are hedged.
	minLatencySamples = 8
	// hedgeQuantile is the quantile of recent latencies after which a request is
	// hedged, so that about one request in twenty is.
	hedgeQuantile = 0.95
	// hedgeMargin is the factor on the quantile. Without it, services whose latencies
	// hardly vary hedged every request and spent the whole budget on hedges.
	hedgeMargin = 1.25
	// gapSmoothing is the weight of a new stream in the moving average of chunk gaps.
	gapSmoothing = 1.0 / 16

	// stallFactor is the pause of a stream, in average gaps between chunks, that counts as
	// a stall. Engines pause for a few gaps while they compute another request's prompt.
	stallFactor = 20
	// MinStallTimeout is the shortest pause that counts as a stall. It is longer than the
	// pauses of servers that other tenants on the same host slow down briefly.
	MinStallTimeout = 2 * time.Second
	// firstTokenFactor is the longest wait for the first token, in hedge delays.
	firstTokenFactor = 8
	// defaultFirstTokenTimeout is the longest wait for a first token or an answer while
	// there are fewer than minLatencySamples.
	defaultFirstTokenTimeout = 10 * time.Second
)

// LatencyStats summarises the recent latencies of a service; the zero value has no samples.
type LatencyStats struct {
	// firstTokens is a ring buffer of times to the first token or answer; count samples were added in all.
	firstTokens [latencySamples]time.Duration
	count       int
	// gap is the moving average of streams' mean gaps between chunks, 0 without samples.
	gap time.Duration
}

// WithFirstToken returns the statistics with one more time to the first token, or to
// the answer of a plain service.
func (latencyStats LatencyStats) WithFirstToken(first time.Duration) LatencyStats {
	latencyStats.firstTokens[latencyStats.count%latencySamples] = first
	latencyStats.count++
	return latencyStats
}

// WithAborted returns the statistics after a try that was cancelled after elapsed,
// before its first token or answer.
//
// If elapsed is at least the quantile, the quantile itself is added as a sample.
// Adding no sample would lower the quantile with each hedge, and adding elapsed would
// raise it without bound while many servers stall.
func (latencyStats LatencyStats) WithAborted(elapsed time.Duration) LatencyStats {
	quantile, known := latencyStats.quantile()
	if !known || elapsed < quantile {
		return latencyStats
	}
	return latencyStats.WithFirstToken(quantile)
}

// WithGap returns the statistics after a stream with the given mean gap between chunks.
func (latencyStats LatencyStats) WithGap(gap time.Duration) LatencyStats {
	if latencyStats.gap == 0 {
		latencyStats.gap = gap
		return latencyStats
	}
	latencyStats.gap += time.Duration(float64(gap-latencyStats.gap) * gapSmoothing)
	return latencyStats
}

// HedgeDelay returns the time after which a request without a first token or answer
// is hedged, or false if there are too few samples.
func (latencyStats LatencyStats) HedgeDelay() (time.Duration, bool) {
	quantile, known := latencyStats.quantile()
	return time.Duration(hedgeMargin * float64(quantile)), known
}

// quantile returns the hedgeQuantile of the recent times to the first token, or false if there
// are too few samples.
func (latencyStats LatencyStats) quantile() (time.Duration, bool) {
	if latencyStats.count < minLatencySamples {
		return 0, false
	}
	sorted := slices.Clone(latencyStats.firstTokens[:min(latencyStats.count, latencySamples)])
	slices.Sort(sorted)
	return sorted[int(hedgeQuantile*float64(len(sorted)))], true
}

// StallTimeout returns the longest pause before the next chunk of a stream that has started.
func (latencyStats LatencyStats) StallTimeout() time.Duration {
	return max(MinStallTimeout, stallFactor*latencyStats.gap)
}

// FirstTokenTimeout returns the longest wait for a stream's first chunk, or for an answer.
func (latencyStats LatencyStats) FirstTokenTimeout() time.Duration {
	delay, known := latencyStats.HedgeDelay()
	if !known {
		return defaultFirstTokenTimeout
	}
	return max(MinStallTimeout, firstTokenFactor*delay)
}
