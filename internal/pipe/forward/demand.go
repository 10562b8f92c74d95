package forward

import (
	"maps"
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
)

const (
	// demandDecayTime is the time over which demand is averaged.
	demandDecayTime = 4 * time.Second
	// minRatedPrompt is the number of tokens from which the time to the first token shows
	// the rate at which a server reads.
	minRatedPrompt = 1500
	// rateStep is the part by which an answer moves the rate of a service.
	rateStep = 0.02
	// rateQuantile is the part of answers that are read more slowly than the rate.
	// Slower answers waited for other entries' prompts.
	rateQuantile = 0.8
	// nominalPrefillRate is the number of prompt tokens that an undisturbed server reads in a second.
	nominalPrefillRate = 30000
	// baseTimeWeight is the weight of a new answer in the usual time of a route.
	baseTimeWeight = 0.02
	// minRateSamples is how many answers it takes to know the rate.
	minRateSamples = 10
)

// Demand measures the prompt tokens that the servers of each service have to read.
type Demand struct {
	clock  Clock
	meters *rcu.Cell[map[string]meter]
	// baseTimes is the mean time to the beginning of an answer by route, apart from the reading of the prompt.
	baseTimes *rcu.Cell[map[string]time.Duration]
}

// meter is a decaying sum of tokens, and the rate at which they are read.
type meter struct {
	sum     float64
	at      time.Duration
	rate    float64
	samples int
}

// NewDemand returns a demand of nothing.
func NewDemand(clock Clock) *Demand {
	return &Demand{clock: clock, meters: rcu.New(map[string]meter{}), baseTimes: rcu.New(map[string]time.Duration{})}
}

// Add counts the tokens of a call.
func (demand *Demand) Add(service string, tokens int) {
	now := demand.clock.Now()
	demand.update(service, func(meter meter) meter {
		meter.sum = meter.decayed(now) + float64(tokens)
		meter.at = now
		return meter
	})
}

// Read learns from a prompt that a server read while it had no other one of this entry.
func (demand *Demand) Read(service string, tokens int, took time.Duration) {
	if tokens < minRatedPrompt || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	demand.update(service, func(meter meter) meter {
		meter.samples++
		switch {
		case meter.samples <= minRateSamples:
			meter.rate = max(meter.rate, sample)
		case sample > meter.rate:
			meter.rate *= 1 + rateStep*rateQuantile
		default:
			meter.rate *= 1 - rateStep*(1-rateQuantile)
		}
		return meter
	})
}

// Ratio returns the time that an answer took to begin in relation to the usual one, and learns from it.
func (demand *Demand) Ratio(route string, unread int, took time.Duration) float64 {
	reading := time.Duration(float64(unread) / nominalPrefillRate * float64(time.Second))
	rest := max(0, took-reading)
	usual := demand.baseTimes.Update(func(usual map[string]time.Duration) map[string]time.Duration {
		mean, known := usual[route]
		if !known {
			mean = rest
		}
		next := maps.Clone(usual)
		next[route] = mean + time.Duration(baseTimeWeight*float64(min(rest, 3*mean+time.Millisecond)-mean))
		return next
	})[route]
	return took.Seconds() / max(usual+reading, time.Millisecond).Seconds()
}

// PerSecond returns the tokens a second by service.
func (demand *Demand) PerSecond() map[string]float64 {
	now, all := demand.clock.Now(), map[string]float64{}
	for service, meter := range demand.meters.Load() {
		all[service] = meter.decayed(now) / demandDecayTime.Seconds()
	}
	return all
}

// Rate returns the number of prompt tokens that a server of a service reads in a second, 0 if not known.
func (demand *Demand) Rate(service string) float64 {
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

func (meter meter) decayed(now time.Duration) float64 {
	return meter.sum * math.Exp(-max(0, now-meter.at).Seconds()/demandDecayTime.Seconds())
}
