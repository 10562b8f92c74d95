package backend

import "time"

const (
	// firstSamples is the number of samples during which a reference moves fast.
	firstSamples = 20
	fastStep     = 0.3
	slowStep     = 0.03
	// tokenQuantile makes the reference of a token's time the median, which a
	// minority of slowed servers does not move far.
	tokenQuantile = 0.5
	// answerQuantile is higher, because cached prompts and small operations answer
	// much faster than the rest, and the rest must not look slow.
	answerQuantile = 0.9
)

// Baseline tracks a quantile of the time per unit of work over the servers of a service.
//
// It steps up or down with each sample by a share of itself, so that the size
// of an outlier has no influence.
type Baseline struct {
	perUnit time.Duration
	samples int
}

// Expected returns the usual time of an amount of work, 0 while it is not known.
func (baseline Baseline) Expected(units float64) time.Duration {
	return time.Duration(float64(baseline.perUnit) * units)
}

// WithSample returns the reference after units of work that took the given time.
func (baseline Baseline) WithSample(took time.Duration, units, quantile float64) Baseline {
	perUnit := time.Duration(float64(took) / units)
	if baseline.samples == 0 {
		return Baseline{perUnit: perUnit, samples: 1}
	}
	step := slowStep
	if baseline.samples < firstSamples {
		step = fastStep
		baseline.samples++
	}
	switch {
	case perUnit > baseline.perUnit:
		baseline.perUnit = min(perUnit, scaled(baseline.perUnit, 1+step*quantile))
	case perUnit < baseline.perUnit:
		baseline.perUnit = max(perUnit, scaled(baseline.perUnit, 1-step*(1-quantile)))
	}
	return baseline
}

func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
