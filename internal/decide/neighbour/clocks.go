package neighbour

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
}

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
	return Clocks{samples: samples}
}

// Offset returns what the own clock lacks to the middle one.
func (clocks Clocks) Offset(now time.Duration) time.Duration {
	offsets := []time.Duration{0}
	for _, sample := range clocks.samples {
		if now-sample.at <= sampleLife {
			offsets = append(offsets, sample.offset)
		}
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
