package account

import (
	"math"
	"time"
)

// average is an exponentially weighted mean over time of a number that changes in steps.
type average struct {
	mean float64
	// weight is how much of the mean was observed, from 0 to 1; the rest is the initial 0.
	weight float64
	updatedAt     time.Time
}

// with returns the mean after the number had a value since the last change.
func (average average) with(value float64, now time.Time, window time.Duration) average {
	if average.updatedAt.IsZero() {
		average.updatedAt = now
		return average
	}
	elapsed := now.Sub(average.updatedAt)
	if elapsed <= 0 {
		return average
	}
	step := -math.Expm1(-elapsed.Seconds() / window.Seconds())
	average.mean += (value - average.mean) * step
	average.weight += (1 - average.weight) * step
	average.updatedAt = now
	return average
}

// observed returns the mean without the initial 0, or false while too little was observed.
func (average average) observed(least float64) (float64, bool) {
	if average.weight < least {
		return 0, false
	}
	return average.mean / average.weight, true
}
