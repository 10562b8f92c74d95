package backend

import "time"

const (
	// warmUpSamples is the number of samples during which a reference moves fast.
	warmUpSamples = 20
	warmUpStep     = 0.3
	steadyStep     = 0.03
	// tokenQuantile makes the reference of a token's time the median, which a
	// minority of slowed servers does not move far.
	tokenQuantile = 0.5
	// answerQuantile is higher, because cached prompts and small operations answer
	// much faster than the rest, and the rest must not look slow.
	answerQuantile = 0.9
)

// Reference tracks a quantile of the time per unit of work over the servers of a service.
//
// It steps up or down with each sample by a share of itself, so that the size
// of an outlier has no influence.
type Reference struct {
	perUnit time.Duration
	samples int
}

// Expected returns the usual time of an amount of work, 0 while it is not known.
func (reference Reference) Expected(units float64) time.Duration {
	return time.Duration(float64(reference.perUnit) * units)
}

// WithSample returns the reference after units of work that took the given time.
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
