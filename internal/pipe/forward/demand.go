package forward

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// demandDecayTime is the time constant with which the sum of prompt tokens decays exponentially.
	demandDecayTime = 4 * time.Second
	// minPrefillSampleTokens is the minimum length of a prompt, in tokens. For shorter ones
	// the time to the head of the answer says little about the prefill rate of the server.
	minPrefillSampleTokens = 1500
	// rateStepFraction bounds the fraction by which one answer changes the prefill rate of a service.
	rateStepFraction = 0.02
	// rateQuantile is the fraction of prompts that are read more slowly than the estimated
	// prefill rate. It is high because the slower prompts waited behind prompts of other entries.
	rateQuantile = 0.8
	// nominalPrefillRate is the number of prompt tokens that a server reads per second
	// when it has no other work.
	nominalPrefillRate = 30000
	// baseTimeWeight is the weight of a new answer in the mean base time of a route.
	baseTimeWeight = 0.02
	// outlierFactor is the multiple of the usual rate above which a sample is taken for that of a prompt which the server had
	// cached, and which seems to be read many times as fast.
	outlierFactor = 3
	// minRateSamples is the number of samples from which the prefill rate is reported, beginning with the highest that is no
	// outlier: the others waited behind prompts of other entries.
	minRateSamples = 10
)

// Demand measures the prompt tokens that this entry sends to each service, and how fast
// the servers read them. It is safe for concurrent use.
type Demand struct {
	clock  Clock
	meters *rcu.Cell[map[string]meter]
	// baseTimes is the mean time to the head of an answer, without the time to read the
	// prompt, by route.
	baseTimes *rcu.Cell[map[string]time.Duration]
}

// meter is the demand for one service and the prefill rate of its servers.
type meter struct {
	// tokens is the decaying sum of prompt tokens, as of updatedAt.
	tokens    float64
	updatedAt time.Duration
	// firstSamples are the samples so far, until there are minRateSamples, and samples is the number of all.
	firstSamples []float64
	samples      int
	// rate is the estimated prefill rate, in tokens per second.
	rate float64
}

// NewDemand returns a demand without recorded calls.
func NewDemand(clock Clock) *Demand {
	return &Demand{clock: clock, meters: rcu.New(map[string]meter{}), baseTimes: rcu.New(map[string]time.Duration{})}
}

// AddPrompt adds the prompt tokens of a call that a server has to read.
func (demand *Demand) AddPrompt(service string, tokens int) {
	now := demand.clock.Now()
	demand.update(service, func(meter meter) meter {
		meter.tokens = meter.decayed(now) + float64(tokens)
		meter.updatedAt = now
		return meter
	})
}

// RecordPrefill updates the prefill rate with a prompt that a server read while it had no
// other call of this entry.
func (demand *Demand) RecordPrefill(service string, tokens int, elapsed time.Duration) {
	if tokens < minPrefillSampleTokens || elapsed <= 0 {
		return
	}
	sample := float64(tokens) / elapsed.Seconds()
	demand.update(service, func(meter meter) meter {
		meter.samples++
		switch {
		case meter.samples < minRateSamples:
			meter.firstSamples = append(slices.Clone(meter.firstSamples), sample)
		case meter.samples == minRateSamples:
			meter.rate, meter.firstSamples = highestUsual(append(slices.Clone(meter.firstSamples), sample)), nil
		case sample > outlierFactor*meter.rate:
			meter.rate *= 1 + rateStepFraction*(1-rateQuantile) // A small step, in case the rate is far too low.
		case sample > meter.rate:
			meter.rate *= 1 + rateStepFraction*rateQuantile
		default:
			meter.rate *= 1 - rateStepFraction*(1-rateQuantile)
		}
		return meter
	})
}

// highestUsual returns the highest sample that is no outlier compared with the median.
func highestUsual(samples []float64) float64 {
	slices.Sort(samples)
	limit := outlierFactor * samples[len(samples)/2]
	highest := samples[0]
	for _, sample := range samples {
		if sample <= limit {
			highest = sample
		}
	}
	return highest
}

// LatencyRatio returns the time to the head of an answer as a multiple of the expected
// time, and updates the base time of the route. The expected time depends on the number
// of prompt tokens that the server does not have cached.
func (demand *Demand) LatencyRatio(route string, uncachedTokens int, elapsed time.Duration) float64 {
	prefillTime := time.Duration(float64(uncachedTokens) / nominalPrefillRate * float64(time.Second))
	overhead := max(0, elapsed-prefillTime)
	baseTime := demand.baseTimes.Update(func(baseTimes map[string]time.Duration) map[string]time.Duration {
		mean, measured := baseTimes[route]
		if !measured {
			mean = overhead
		}
		next := maps.Clone(baseTimes)
		next[route] = mean + time.Duration(baseTimeWeight*float64(min(overhead, 3*mean+time.Millisecond)-mean))
		return next
	})[route]
	return elapsed.Seconds() / max(baseTime+prefillTime, time.Millisecond).Seconds()
}

// TokensPerSecond returns the demand for each service in prompt tokens per second.
func (demand *Demand) TokensPerSecond() map[string]float64 {
	now, rates := demand.clock.Now(), map[string]float64{}
	for service, meter := range demand.meters.Load() {
		rates[service] = meter.decayed(now) / demandDecayTime.Seconds()
	}
	return rates
}

// PrefillRate returns the number of prompt tokens that a server of a service reads per
// second, 0 if there are too few samples.
func (demand *Demand) PrefillRate(service string) float64 {
	meter := demand.meters.Load()[service]
	if meter.samples < minRateSamples {
		return 0
	}
	return meter.rate
}

func (demand *Demand) update(service string, change func(meter) meter) {
	demand.meters.Update(func(meters map[string]meter) map[string]meter {
		next := maps.Clone(meters)
		next[service] = change(next[service])
		return next
	})
}

// decayed returns the sum of prompt tokens as of now.
func (meter meter) decayed(now time.Duration) float64 {
	return meter.tokens * math.Exp(-max(0, now-meter.updatedAt).Seconds()/demandDecayTime.Seconds())
}
