package retry

import (
	"slices"
	"time"
)

const (
	// latencySamples is how many recent times the quantile is taken over.
	latencySamples = 64
	// minLatencySamples is how many times must be known before work is hedged.
	minLatencySamples = 8
	// hedgeQuantile is the share of recent first-token or answer times that a
	// hedge waits for, so that about one request in twenty is hedged.
	hedgeQuantile = 0.95
	// hedgeMargin stretches the quantile. Without it, services whose times hardly
	// differ hedged every request and spent the whole budget on it.
	hedgeMargin = 1.25
	// gapSmoothing is the weight of a new stream's mean gap in the usual gap.
	gapSmoothing = 1.0 / 16

	// stallFactor is how many usual gaps a stream may pause. Engines pause for a
	// few gaps while they compute another request's prompt.
	stallFactor = 20
	// MinStallTimeout is the least pause that counts as a stall, above the pauses of
	// servers that other tenants slow down for a moment.
	MinStallTimeout = 2 * time.Second
	// firstTokenFactor is how many hedge delays the first token may take.
	firstTokenFactor = 8
	// defaultFirstTokenTimeout is the longest wait for a first token or an answer while too little is known.
	defaultFirstTokenTimeout = 10 * time.Second
)

// Pace is what is usual for a service; the zero value knows nothing.
type Pace struct {
	firstTokens [latencySamples]time.Duration
	count       int
	gap         time.Duration
}

// WithFirst returns the pace after a first token, or an answer of a plain service.
func (pace Pace) WithFirst(first time.Duration) Pace {
	pace.firstTokens[pace.count%latencySamples] = first
	pace.count++
	return pace
}

// WithSlow returns the pace after a try that was ended after elapsed while it waited.
//
// Its time would have been longer than the quantile, so the quantile itself is
// taken: leaving it out would lower the quantile with each hedge, and taking
// the time so far would raise it without end while many servers stall.
func (pace Pace) WithSlow(elapsed time.Duration) Pace {
	usual, known := pace.quantile()
	if !known || elapsed < usual {
		return pace
	}
	return pace.WithFirst(usual)
}

// WithGap returns the pace after a stream with that mean gap between chunks.
func (pace Pace) WithGap(gap time.Duration) Pace {
	if pace.gap == 0 {
		pace.gap = gap
		return pace
	}
	pace.gap += time.Duration(float64(gap-pace.gap) * gapSmoothing)
	return pace
}

// HedgeDelay returns the time after which a try is slow, or false while too little is known.
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

// StallAfter returns the longest pause before the next chunk of a stream that has started.
func (pace Pace) StallAfter() time.Duration {
	return max(MinStallTimeout, stallFactor*pace.gap)
}

// FirstAfter returns the longest wait for a stream's first chunk, or for an answer.
func (pace Pace) FirstAfter() time.Duration {
	delay, known := pace.HedgeDelay()
	if !known {
		return defaultFirstTokenTimeout
	}
	return max(MinStallTimeout, firstTokenFactor*delay)
}
