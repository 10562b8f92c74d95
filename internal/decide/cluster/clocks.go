package cluster

import (
	"maps"
	"slices"
	"time"
)

// sampleTTL is how long a sample of another entry's clock is used.
const sampleTTL = 3 * time.Second

// Clocks compares the entry's wall clock with those of other entries.
//
// The clock of a single machine may jump, so the median of all clocks is taken as correct. Clocks is immutable.
type Clocks struct {
	// samples are by entry name.
	samples map[string]clockSample
	// aggregatorClock is the sample of the aggregator's corrected clock, which is a median over many entries.
	aggregatorClock clockSample
}

// tooFewSamples is the number of samples up to which an entry uses the aggregator's corrected clock in place
// of the median of its own samples.
const tooFewSamples = 1

// clockSample is how far another entry's wall clock was ahead of this entry's, and the time of the boot
// clock at which that was measured.
type clockSample struct {
	offset     time.Duration
	receivedAt time.Duration
}

// WithSample returns the clocks after a message of the named entry, whose clock is ahead of this entry's by
// offset.
func (clocks Clocks) WithSample(name string, offset, now time.Duration) Clocks {
	samples := maps.Clone(clocks.samples)
	if samples == nil {
		samples = map[string]clockSample{}
	}
	samples[name] = clockSample{offset, now}
	maps.DeleteFunc(samples, func(_ string, sample clockSample) bool { return now-sample.receivedAt > sampleTTL })
	clocks.samples = samples
	return clocks
}

// WithAggregatorClock returns the clocks after the aggregator sent its corrected wall clock, which is ahead
// of this entry's by offset.
func (clocks Clocks) WithAggregatorClock(offset, now time.Duration) Clocks {
	clocks.aggregatorClock = clockSample{offset, now}
	return clocks
}

// Offset returns what has to be added to this entry's clock to get the median of all clocks.
//
// With at most one sample, it is the offset of the aggregator's corrected clock, unless the aggregator has
// sent none recently.
func (clocks Clocks) Offset(now time.Duration) time.Duration {
	offsets := []time.Duration{0}
	for _, sample := range clocks.samples {
		if now-sample.receivedAt <= sampleTTL {
			offsets = append(offsets, sample.offset)
		}
	}
	if len(offsets) <= 1+tooFewSamples && clocks.aggregatorClock.receivedAt > 0 && now-clocks.aggregatorClock.receivedAt <= sampleTTL {
		return clocks.aggregatorClock.offset
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
