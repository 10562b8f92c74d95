package prefill

import (
	"maps"
	"math"
	"time"
)

const (
	// levelFactor is the ratio of the rates of two successive buckets. The estimate is at most half a step off.
	levelFactor = 1.1
	// minRate is the rate of the lowest bucket, in tokens per second. Lower samples count for it.
	minRate = 100.0
	// MaxLevel is the number of the highest bucket, for 18 million tokens per second. Higher samples count for it.
	MaxLevel = 127
	// window is the time for which samples count at least; they count for at most twice as long.
	window = 30 * time.Second
	// MaxCount is the highest number of samples in a bucket.
	MaxCount = 1 << 24
)

// Bucket is a range of prefill rates of the servers of a service.
type Bucket struct {
	Service string
	// Level numbers the ranges of rates, the lowest one first.
	Level uint8
}

// NewBucket returns the bucket of a rate, in tokens per second.
func NewBucket(service string, rate float64) Bucket {
	level := math.Round(math.Log(rate/minRate) / math.Log(levelFactor))
	return Bucket{Service: service, Level: uint8(min(max(level, 0), MaxLevel))}
}

// rate returns the middle of the bucket's range, in tokens per second.
func (bucket Bucket) rate() float64 { return minRate * math.Pow(levelFactor, float64(bucket.Level)) }

// Counts is a number of samples by bucket.
type Counts map[Bucket]int

// Samples counts the recent samples of one entry. The zero value has none.
type Samples struct {
	// current are the samples since startedAt, and previous those of the window before.
	current, previous Counts
	startedAt         time.Duration
}

// WithSample returns the samples with one more: a server of the service read a prompt with the given rate, in tokens per
// second. The method ignores a rate that is not above 0.
func (samples Samples) WithSample(service string, rate float64, now time.Duration) Samples {
	if !(rate > 0) {
		return samples
	}
	samples = samples.at(now)
	current := maps.Clone(samples.current)
	if current == nil {
		current = Counts{}
	}
	bucket := NewBucket(service, rate)
	current[bucket] = min(current[bucket]+1, MaxCount)
	samples.current = current
	return samples
}

// Counts returns the samples that count at a time, by bucket.
func (samples Samples) Counts(now time.Duration) Counts {
	samples = samples.at(now)
	counts := make(Counts, len(samples.current)+len(samples.previous))
	maps.Copy(counts, samples.previous)
	for bucket, count := range samples.current {
		counts[bucket] += count
	}
	return counts
}

// at returns the samples with the windows that apply at a time.
func (samples Samples) at(now time.Duration) Samples {
	switch elapsed := now - samples.startedAt; {
	case elapsed < window:
		return samples
	case elapsed < 2*window:
		return Samples{previous: samples.current, startedAt: samples.startedAt + window}
	}
	return Samples{startedAt: now}
}
