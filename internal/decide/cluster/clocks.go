package cluster

import (
	"maps"
	"slices"
	"time"
)

// sampleLife is how long a comparison with another entry's clock counts.
const sampleLife = 3 * time.Second

// Clocks compares the entry's wall clock with those of the others.
//
// Single machines' clocks may jump; the middle one of all clocks is taken as true.
type Clocks struct {
	samples map[string]sample
	// guide is the clock of the entry's relay, which compares those of many entries.
	guide sample
}

// fewSamples is up to how many own comparisons the clock of the relay goes before them.
const fewSamples = 1

type sample struct {
	offset time.Duration
	at     time.Duration
}

// WithSample returns the clocks after a statement of an entry arrived, which is ahead by offset.
func (clocks Clocks) WithSample(name string, offset, now time.Duration) Clocks {
	samples := maps.Clone(clocks.samples)
	if samples == nil {
		samples = map[string]sample{}
	}
	samples[name] = sample{offset, now}
	maps.DeleteFunc(samples, func(_ string, sample sample) bool { return now-sample.at > sampleLife })
	clocks.samples = samples
	return clocks
}

// WithAggregatorClock returns the clocks after the entry's relay told its wall clock, set right, which is ahead by offset.
func (clocks Clocks) WithAggregatorClock(offset, now time.Duration) Clocks {
	clocks.guide = sample{offset, now}
	return clocks
}

// Offset returns what the own clock lacks to the middle one.
func (clocks Clocks) Offset(now time.Duration) time.Duration {
	offsets := []time.Duration{0}
	for _, sample := range clocks.samples {
		if now-sample.at <= sampleLife {
			offsets = append(offsets, sample.offset)
		}
	}
	if len(offsets) <= 1+fewSamples && clocks.guide.at > 0 && now-clocks.guide.at <= sampleLife {
		return clocks.guide.offset
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
