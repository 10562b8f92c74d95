package work

import "math"

// minSurvival is the probability below which a call that goes on is taken for one that the estimate does not describe.
const minSurvival = 1e-4

// Estimate is the estimated amount of a call. It is immutable, and unknown as the zero value.
type Estimate struct {
	known bool
	// mean and deviation are those of the logarithm of the amount, which is taken for normal.
	mean, deviation float64
	// unitMs is the usual time for a unit in milliseconds, 0 if it is not known.
	unitMs float64
	// bound is the highest amount, 0 for none.
	bound float64
}

// Known reports whether there is an estimate.
func (estimate Estimate) Known() bool { return estimate.known }

// Median returns the amount that half of such calls exceed, 0 if it is not known.
func (estimate Estimate) Median() float64 {
	if !estimate.known {
		return 0
	}
	return math.Exp(estimate.mean)
}

// Left returns the expected amount that a call has left after a part of it, 0 if it is not known.
func (estimate Estimate) Left(done float64) float64 {
	if !estimate.known {
		return 0
	}
	total := math.Exp(estimate.mean + estimate.deviation*estimate.deviation/2)
	left := total
	if done > 0 {
		survival := estimate.Beyond(done)
		left = done // A call beyond all that was seen is expected to be half over.
		if survival >= minSurvival {
			// The mean of a log-normal amount, given that it exceeds done, less what is done.
			left = total*normalAbove((math.Log(done)-estimate.mean)/estimate.deviation-estimate.deviation)/survival - done
		}
	}
	if estimate.bound > 0 {
		left = min(left, estimate.bound-done)
	}
	return max(0, left)
}

// LeftMs returns the time for what [Estimate.Left] returns, at the service's usual pace in milliseconds, 0 if it is not known.
func (estimate Estimate) LeftMs(done float64) float64 { return estimate.Left(done) * estimate.unitMs }

// Beyond returns the probability that the amount exceeds a limit, 0 if it is not known.
func (estimate Estimate) Beyond(limit float64) float64 {
	switch {
	case !estimate.known || estimate.bound > 0 && limit >= estimate.bound:
		return 0
	case limit <= 0:
		return 1
	}
	return normalAbove((math.Log(limit) - estimate.mean) / estimate.deviation)
}

// LateAfter returns the probability that the call takes longer than a time, in milliseconds, at a server with a pace.
func (estimate Estimate) LateAfter(timeMs, pace float64) float64 {
	if estimate.unitMs == 0 {
		return 0
	}
	return estimate.Beyond(timeMs / (estimate.unitMs * pace))
}

// normalAbove returns the probability that a standard normal variable exceeds a value.
func normalAbove(value float64) float64 { return math.Erfc(value/math.Sqrt2) / 2 }
