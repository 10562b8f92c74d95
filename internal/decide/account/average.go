package account

import (
	"math"
	"time"
)

// average is an exponentially weighted moving average over time of a number that changes in steps.
type average struct {
	mean float64
	// weight is the share of mean that comes from observed values, from 0 to 1; the rest
	// comes from the initial value 0.
	weight    float64
	updatedAt time.Time
}

// with returns the average after the number had the given value since the last update.
// The first call only sets the time from which the number is averaged.
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

// observed returns the mean corrected for the initial value 0, or false while the weight of the
// observed values is below minWeight.
func (average average) observed(minWeight float64) (float64, bool) {
	if average.weight < minWeight {
		return 0, false
	}
	return average.mean / average.weight, true
}
