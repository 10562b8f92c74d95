package forward

import (
	"maps"
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/prefill"
)

const (
	// demandDecayTime is the time constant with which the sum of prompt tokens decays exponentially.
	demandDecayTime = 4 * time.Second
	// minPrefillSampleTokens is the minimum length of a prompt, in tokens. For shorter ones
	// the time to the head of the answer says little about the prefill rate of the server.
	minPrefillSampleTokens = 1500
	// baseTimeWeight is the weight of a new answer in the mean base time of a route.
	baseTimeWeight = 0.02
)

// Demand measures the prompt tokens that this entry sends to each service, and samples how
// fast the servers read them. It is safe for concurrent use.
type Demand struct {
	clock  Clock
	meters *rcu.Cell[map[string]meter]
	// samples are the recent samples of the prefill rates of servers.
	samples *rcu.Cell[prefill.Samples]
	// baseTimes is the mean time to the head of an answer, without the time to read the
	// prompt, by route.
	baseTimes *rcu.Cell[map[string]time.Duration]
}

// meter is the demand for one service.
type meter struct {
	// tokens is the decaying sum of prompt tokens, as of updatedAt.
	tokens    float64
	updatedAt time.Duration
}

// NewDemand returns a demand without recorded calls.
func NewDemand(clock Clock) *Demand {
	return &Demand{clock: clock, meters: rcu.New(map[string]meter{}), samples: rcu.New(prefill.Samples{}), baseTimes: rcu.New(map[string]time.Duration{})}
}

// AddPrompt adds the prompt tokens of a call that a server has to read.
func (demand *Demand) AddPrompt(service string, tokens int) {
	now := demand.clock.Now()
	demand.meters.Update(func(meters map[string]meter) map[string]meter {
		next := maps.Clone(meters)
		next[service] = meter{tokens: meters[service].decayed(now) + float64(tokens), updatedAt: now}
		return next
	})
}

// RecordPrefill adds a sample of the prefill rate: a prompt that a server read while it had no other call of this entry.
func (demand *Demand) RecordPrefill(service string, tokens int, elapsed time.Duration) {
	if tokens < minPrefillSampleTokens || elapsed <= 0 {
		return
	}
	now := demand.clock.Now()
	demand.samples.Update(func(samples prefill.Samples) prefill.Samples {
		return samples.WithSample(service, float64(tokens)/elapsed.Seconds(), now)
	})
}

// PrefillSamples returns the recent samples of the prefill rates of servers.
func (demand *Demand) PrefillSamples() prefill.Counts {
	return demand.samples.Load().Counts(demand.clock.Now())
}

// LatencyRatio returns the time to the head of an answer as a multiple of the expected
// time, and updates the base time of the route. The expected time depends on the number
// of prompt tokens that the server does not have cached.
func (demand *Demand) LatencyRatio(route string, uncachedTokens int, elapsed time.Duration) float64 {
	prefillTime := time.Duration(float64(uncachedTokens) / prefill.NominalRate * float64(time.Second))
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

// decayed returns the sum of prompt tokens as of now.
func (meter meter) decayed(now time.Duration) float64 {
	return meter.tokens * math.Exp(-max(0, now-meter.updatedAt).Seconds()/demandDecayTime.Seconds())
}
