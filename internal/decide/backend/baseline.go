package backend

import "time"

const (
	// warmUpSamples is the number of samples during which a baseline moves in larger steps.
	warmUpSamples = 20
	// warmUpStep and steadyStep are the sizes of a step, as fractions of the baseline, during and after that time.
	warmUpStep = 0.3
	steadyStep = 0.03
	// tokenQuantile is the quantile for the time per token: the median, on which a
	// minority of slow servers has little effect.
	tokenQuantile = 0.5
	// answerQuantile is the quantile for the time to an answer. It is higher, because requests
	// with cached prompts and small operations are answered much faster than other requests,
	// and with the median those other requests would appear slow.
	answerQuantile = 0.9
)

// Baseline tracks a quantile of the time per unit of work over the servers of a service.
//
// Each sample moves it up or down by a fraction of its value, so that it does not matter
// how large an outlier is.
type Baseline struct {
	perUnit time.Duration
	samples int
}

// Expected returns the usual time of an amount of work, 0 until the first sample.
func (baseline Baseline) Expected(units float64) time.Duration {
	return time.Duration(float64(baseline.perUnit) * units)
}

// WithSample returns the baseline of a quantile after units of work that took the given time.
func (baseline Baseline) WithSample(took time.Duration, units, quantile float64) Baseline {
	perUnit := time.Duration(float64(took) / units)
	if baseline.samples == 0 {
		return Baseline{perUnit: perUnit, samples: 1}
	}
	step := steadyStep
	if baseline.samples < warmUpSamples {
		step = warmUpStep
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
