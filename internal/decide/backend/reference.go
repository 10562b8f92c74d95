package backend

import "time"

const (
	// warmUpSamples is the number of samples during which a baseline moves in larger steps.
	warmUpSamples = 20
	warmUpStep    = 0.3
	steadyStep    = 0.03
	// tokenQuantile makes the baseline of the time per token the median, on which a
	// minority of slow servers has little effect.
	tokenQuantile = 0.5
	// answerQuantile is higher, because requests with cached prompts and small operations
	// are answered much faster than others, which must not appear slow.
	answerQuantile = 0.9
)

// Baseline tracks a quantile of the time per unit of work over the servers of a service.
//
// Each sample moves it up or down by a fraction of its value, so that the size of an
// outlier has no effect.
type Reference struct {
	perUnit time.Duration
	samples int
}

// Expected returns the usual time of an amount of work, 0 until the first sample.
func (reference Reference) Expected(units float64) time.Duration {
	return time.Duration(float64(reference.perUnit) * units)
}

// WithSample returns the baseline after units of work that took the given time.
func (reference Reference) WithSample(took time.Duration, units, quantile float64) Reference {
	perUnit := time.Duration(float64(took) / units)
	if reference.samples == 0 {
		return Reference{perUnit: perUnit, samples: 1}
	}
	step := steadyStep
	if reference.samples < warmUpSamples {
		step = warmUpStep
		reference.samples++
	}
	switch {
	case perUnit > reference.perUnit:
		reference.perUnit = min(perUnit, scaled(reference.perUnit, 1+step*quantile))
	case perUnit < reference.perUnit:
		reference.perUnit = max(perUnit, scaled(reference.perUnit, 1-step*(1-quantile)))
	}
	return reference
}

func scaled(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}
