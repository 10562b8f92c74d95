package cluster

import (
	"maps"
	"slices"
	"time"
)

// sampleTTL is how long a comparison with another entry's clock is used.
const sampleTTL = 3 * time.Second

// Clocks compares the entry's wall clock with those of other entries.
//
// The clock of a single machine may jump, so the median of all clocks is taken as correct.
type Clocks struct {
	samples map[string]sample
	// aggregatorClock is the sample of the aggregator's corrected clock, which is a median over many entries.
	aggregatorClock sample
}

// tooFewSamples is the highest number of samples of this entry that the aggregator's clock takes precedence over.
const tooFewSamples = 1

type sample struct {
	offset time.Duration
	at     time.Duration
}

// WithSample returns the clocks after a message of an entry whose clock is ahead by offset.
func (clocks Clocks) WithSample(name string, offset, now time.Duration) Clocks {
	samples := maps.Clone(clocks.samples)
	if samples == nil {
		samples = map[string]sample{}
	}
	samples[name] = sample{offset, now}
	maps.DeleteFunc(samples, func(_ string, sample sample) bool { return now-sample.at > sampleTTL })
	clocks.samples = samples
	return clocks
}

// WithAggregatorClock returns the clocks after the aggregator sent its corrected wall clock, which is ahead by offset.
func (clocks Clocks) WithAggregatorClock(offset, now time.Duration) Clocks {
	clocks.aggregatorClock = sample{offset, now}
	return clocks
}

// Offset returns what has to be added to this entry's clock to get the median of all clocks.
//
// With too few samples it is the offset of the aggregator's clock, and 0 if that is missing too.
func (clocks Clocks) Offset(now time.Duration) time.Duration {
	offsets := []time.Duration{0}
	for _, sample := range clocks.samples {
		if now-sample.at <= sampleTTL {
			offsets = append(offsets, sample.offset)
		}
	}
	if len(offsets) <= 1+tooFewSamples && clocks.aggregatorClock.at > 0 && now-clocks.aggregatorClock.at <= sampleTTL {
		return clocks.aggregatorClock.offset
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
