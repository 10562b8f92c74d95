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

	// stallFactor is the pause of a stream, in average gaps, that counts as a stall.
	// Engines pause for a few gaps while they compute another request's prompt.
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
type Pace struct {
	firstTokens [latencySamples]time.Duration
	count       int
	gap         time.Duration
}

// WithFirstToken returns the statistics with one more time to the first token, or to
// the answer of a plain service.
func (pace Pace) WithFirst(first time.Duration) Pace {
	pace.firstTokens[pace.count%latencySamples] = first
	pace.count++
	return pace
}

// WithAborted returns the statistics after a try that was cancelled after elapsed,
// before its first token or answer.
//
// If elapsed is at least the quantile, the quantile itself is added as a sample.
// Adding no sample would lower the quantile with each hedge, and adding elapsed would
// raise it without bound while many servers stall.
func (pace Pace) WithSlow(elapsed time.Duration) Pace {
	usual, known := pace.quantile()
	if !known || elapsed < usual {
		return pace
	}
	return pace.WithFirst(usual)
}

// WithGap returns the statistics after a stream with the given mean gap between chunks.
func (pace Pace) WithGap(gap time.Duration) Pace {
	if pace.gap == 0 {
		pace.gap = gap
		return pace
	}
	pace.gap += time.Duration(float64(gap-pace.gap) * gapSmoothing)
	return pace
}

// HedgeDelay returns the time after which a request without a first token or answer
// is hedged, or false if there are too few samples.
func (pace Pace) HedgeDelay() (time.Duration, bool) {
	usual, known := pace.quantile()
	return time.Duration(hedgeMargin * float64(usual)), known
}

func (pace Pace) quantile() (time.Duration, bool) {
	if pace.count < minLatencySamples {
		return 0, false
	}
	sorted := slices.Clone(pace.firstTokens[:min(pace.count, latencySamples)])
	slices.Sort(sorted)
	return sorted[int(hedgeQuantile*float64(len(sorted)))], true
}

// StallTimeout returns the longest pause before the next chunk of a stream that has started.
func (pace Pace) StallAfter() time.Duration {
	return max(MinStallTimeout, stallFactor*pace.gap)
}

// FirstTokenTimeout returns the longest wait for a stream's first chunk, or for an answer.
func (pace Pace) FirstAfter() time.Duration {
	delay, known := pace.HedgeDelay()
	if !known {
		return defaultFirstTokenTimeout
	}
	return max(MinStallTimeout, firstTokenFactor*delay)
}
