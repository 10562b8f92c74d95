package work

import "math"

const (
	// decayCalls is the number of calls after which the weight of a call in a sketch has fallen to 1/e.
	decayCalls = 200.0
	// minCalls is the weight of calls below which a sketch gives no estimate, and minHints that of hints below which hints do not count.
	minCalls = 8.0
	minHints = 8.0
	// routeCalls is the number of calls for which the sketch of the route counts beside that of an account.
	routeCalls = 10.0
	// minVariance is the lowest variance of the logarithm of an amount: a spread by a factor of 1.2.
	minVariance = 0.04
	// minHintVariance is the variance of the logarithm of hints below which all hints are equal and say nothing.
	minHintVariance = 0.01
	// maxHintDeviations bounds a hint, in standard deviations of the route's hints, so that one absurd hint does not decide.
	maxHintDeviations = 3.0
	// maxAmount bounds an amount: a day in milliseconds.
	maxAmount = 24 * 60 * 60 * 1000
)

// Call is what an entry saw of a call that ended.
type Call struct {
	// Amount is the number of events, or the time of the answer of a plain service in milliseconds.
	Amount float64
	// Hint is the caller's hint, in any unit, 0 for none.
	Hint float64
	// UnitMs is the time for each unit of the amount in milliseconds, 0 if it is not known.
	UnitMs float64
	// HeadRatio is the time to the head of the answer as a multiple of the expected time, 0 if it is not known.
	HeadRatio float64
}

// moments are the decaying sums of a quantity and its square.
type moments struct{ count, sum, square float64 }

// with returns the moments after a value, with the earlier ones decayed.
func (moments moments) with(value float64) moments {
	moments = moments.times(1 - 1/decayCalls)
	moments.count, moments.sum, moments.square = moments.count+1, moments.sum+value, moments.square+value*value
	return moments
}

// times returns the moments with another weight.
func (moments moments) times(factor float64) moments {
	moments.count, moments.sum, moments.square = moments.count*factor, moments.sum*factor, moments.square*factor
	return moments
}

// plus returns the moments of both.
func (moments moments) plus(other moments) moments {
	moments.count, moments.sum, moments.square = moments.count+other.count, moments.sum+other.sum, moments.square+other.square
	return moments
}

// mean returns the mean, 0 without values.
func (moments moments) mean() float64 {
	if moments.count == 0 {
		return 0
	}
	return moments.sum / moments.count
}

// variance returns the variance, 0 without values.
func (moments moments) variance() float64 {
	if moments.count == 0 {
		return 0
	}
	mean := moments.mean()
	return max(0, moments.square/moments.count-mean*mean)
}

// Sketch summarises the calls of a route, or of an account on it. It is immutable, and empty as the zero value.
type Sketch struct {
	// amounts are those of all calls, hints and hinted those of the hints and amounts of calls with a hint, all as logarithms, and
	// product is the sum of the products of the latter two.
	amounts, hints, hinted moments
	product                float64
	// units and heads are the logarithms of [Call.UnitMs] and [Call.HeadRatio].
	units, heads moments
}

// WithCall returns the sketch after a call. Figures that are not positive are ignored.
func (sketch Sketch) WithCall(call Call) Sketch {
	if call.Amount > 0 {
		amount := math.Log(min(call.Amount, maxAmount))
		sketch.amounts = sketch.amounts.with(amount)
		if call.Hint > 0 {
			hint := math.Log(min(call.Hint, maxAmount))
			sketch.hints, sketch.hinted = sketch.hints.with(hint), sketch.hinted.with(amount)
			sketch.product = sketch.product*(1-1/decayCalls) + hint*amount
		}
	}
	if call.UnitMs > 0 {
		sketch.units = sketch.units.with(math.Log(call.UnitMs))
	}
	if call.HeadRatio > 0 {
		sketch.heads = sketch.heads.with(math.Log(call.HeadRatio))
	}
	return sketch
}

// WithRoute returns the sketch of an account with that of its route, which counts for a few calls.
func (sketch Sketch) WithRoute(route Sketch) Sketch {
	if route.amounts.count == 0 {
		return sketch
	}
	factor := min(1, routeCalls/route.amounts.count)
	sketch.amounts = sketch.amounts.plus(route.amounts.times(factor))
	sketch.hints, sketch.hinted = sketch.hints.plus(route.hints.times(factor)), sketch.hinted.plus(route.hinted.times(factor))
	sketch.product += route.product * factor
	sketch.units, sketch.heads = route.units, route.heads
	return sketch
}

// Estimate returns the estimate for a call with a hint, 0 for none, and a highest amount, 0 for none. It is unknown without enough
// calls.
func (sketch Sketch) Estimate(hint, bound float64) Estimate {
	if sketch.amounts.count < minCalls {
		return Estimate{}
	}
	mean, variance := sketch.amounts.mean(), sketch.amounts.variance()
	if hint > 0 && sketch.hints.count >= minHints && sketch.hints.variance() >= minHintVariance {
		mean, variance = sketch.regression(math.Log(min(hint, maxAmount)))
	}
	if bound > 0 {
		mean = min(mean, math.Log(bound))
	}
	return Estimate{known: true, mean: mean, deviation: math.Sqrt(max(variance, minVariance)), unitMs: sketch.unitMs(), bound: bound}
}

// regression returns the mean and the variance of the logarithm of the amount of a call by the logarithm of its hint. The slope is
// the measure in which hints have been right.
func (sketch Sketch) regression(hint float64) (mean, variance float64) {
	count, hintMean, hintVariance := sketch.hints.count, sketch.hints.mean(), sketch.hints.variance()
	covariance := sketch.product/count - hintMean*sketch.hinted.mean()
	slope := min(max(covariance/hintVariance, 0), 1)
	reach := maxHintDeviations * math.Sqrt(hintVariance)
	hint = min(max(hint, hintMean-reach), hintMean+reach)
	return sketch.hinted.mean() + slope*(hint-hintMean), sketch.hinted.variance() - 2*slope*covariance + slope*slope*hintVariance
}

// unitMs returns the usual time for a unit of the amount in milliseconds, 0 if it is not known.
func (sketch Sketch) unitMs() float64 {
	if sketch.units.count < minCalls {
		return 0
	}
	return math.Exp(sketch.units.mean())
}

// DecodeRatio returns a time for each unit of the amount as a multiple of the route's usual time, 0 if that is not known.
func (sketch Sketch) DecodeRatio(unitMs float64) float64 {
	if usual := sketch.unitMs(); usual > 0 {
		return unitMs / usual
	}
	return 0
}

// ReadRatio returns a [Call.HeadRatio] as a multiple of the route's usual one, 0 if that is not known.
func (sketch Sketch) ReadRatio(headRatio float64) float64 {
	if sketch.heads.count < minCalls {
		return 0
	}
	return headRatio / math.Exp(sketch.heads.mean())
}
