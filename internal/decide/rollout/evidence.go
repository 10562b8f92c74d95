package rollout

import (
	"maps"
	"math"
	"time"
)

// Key says which answers were counted: those of an order, by the side of the server and the route.
type Key struct {
	// Order is the revision of the order.
	Order int64
	Route string
	Side  Side
}

// Counts are what was counted of some answers. All grow only, so the counts of several entries add up.
type Counts struct {
	// Answers is the number of answers, and Failed that of the failures among them.
	Answers, Failed float64
	// Compared is the number of answers whose times were compared with those of the old version, and Slow that of the slow ones.
	Compared, Slow float64
	// First and Pace are those of the times of the answers that [Times] has.
	First, Pace Sample
}

// Sample is the number and the sum of the logarithms of some times.
type Sample struct{ Count, Logs float64 }

// Times are what was measured of one answer, each 0 if it was not.
type Times struct {
	// First is the time to the first event of a stream, or that of a whole answer, as a multiple of what its prompt takes to read.
	First float64
	// Pace is the time from one event of a stream to the next, in seconds.
	Pace float64
}

const (
	// firstOverhead is the part of the time to the first event that does not depend on the prompt.
	firstOverhead = 20 * time.Millisecond
	// paceUnit, in seconds, and firstUnit, a multiple, are the units of the times in sums of log(1 + time/unit), which are never
	// negative. Times below the unit are hardly told apart.
	paceUnit, firstUnit = 1e-6, 1e-3
	// slowFactor is the multiple of the old version's geometric mean from which on an answer is slow. Answers of one version vary by
	// about that much, so it is their share that is compared.
	slowFactor = 2.5
	// minReference is the number of times of the old version that a comparison needs.
	minReference = 8
)

// FirstRatio returns the time to the first event as a multiple of what is usual for a prompt that takes prefill to read.
func FirstRatio(elapsed, prefill time.Duration) float64 {
	return elapsed.Seconds() / (firstOverhead + prefill).Seconds()
}

// WithAnswer returns the counts after an answer. Reference are those of the old version on the same route.
func (counts Counts) WithAnswer(failed bool, times Times, reference Counts) Counts {
	counts.Answers++
	if failed {
		counts.Failed++
		return counts
	}
	firstSlow, firstCompared := reference.First.exceededBy(times.First, firstUnit)
	paceSlow, paceCompared := reference.Pace.exceededBy(times.Pace, paceUnit)
	if firstCompared || paceCompared {
		counts.Compared++
	}
	if firstSlow || paceSlow {
		counts.Slow++
	}
	counts.First = counts.First.with(times.First, firstUnit)
	counts.Pace = counts.Pace.with(times.Pace, paceUnit)
	return counts
}

// with returns the sample with a value added unless it is 0.
func (sample Sample) with(value, unit float64) Sample {
	if value <= 0 {
		return sample
	}
	return Sample{sample.Count + 1, sample.Logs + math.Log1p(value/unit)}
}

// exceededBy reports whether a value is slow, and whether it could be compared.
func (sample Sample) exceededBy(value, unit float64) (slow, compared bool) {
	if value <= 0 || sample.Count < minReference {
		return false, false
	}
	return value/unit > slowFactor*math.Expm1(sample.Logs/sample.Count), true
}

// Plus returns the sum of two counts.
func (counts Counts) Plus(others Counts) Counts { return counts.plus(others, 1) }

// plus returns the counts with a multiple of others added.
func (counts Counts) plus(others Counts, factor float64) Counts {
	return Counts{
		Answers: counts.Answers + factor*others.Answers, Failed: counts.Failed + factor*others.Failed,
		Compared: counts.Compared + factor*others.Compared, Slow: counts.Slow + factor*others.Slow,
		First: Sample{counts.First.Count + factor*others.First.Count, counts.First.Logs + factor*others.First.Logs},
		Pace:  Sample{counts.Pace.Count + factor*others.Pace.Count, counts.Pace.Logs + factor*others.Pace.Logs},
	}
}

// Totals are counts by key. The maps are not changed once they are shared.
type Totals map[Key]Counts

// Plus returns the sum of two totals.
func (totals Totals) Plus(others Totals) Totals { return totals.combined(others, 1) }

// Minus returns the totals without others that are part of them.
func (totals Totals) Minus(others Totals) Totals { return totals.combined(others, -1) }

func (totals Totals) combined(others Totals, factor float64) Totals {
	if len(others) == 0 {
		return totals
	}
	sum := maps.Clone(totals)
	if sum == nil {
		sum = make(Totals, len(others))
	}
	for key, counts := range others {
		sum[key] = sum[key].plus(counts, factor)
		if sum[key] == (Counts{}) {
			delete(sum, key)
		}
	}
	return sum
}

// GrowthSince returns what the totals have grown by since earlier ones. Those of a key that are lower now have not grown.
func (totals Totals) GrowthSince(earlier Totals) Totals {
	var grown Totals
	for key, counts := range totals {
		if counts.Answers <= earlier[key].Answers {
			continue
		}
		if grown == nil {
			grown = Totals{}
		}
		grown[key] = counts.plus(earlier[key], -1)
	}
	return grown
}

// Of returns the totals of the orders for which keep returns true.
func (totals Totals) Of(keep func(order int64) bool) Totals {
	for key := range totals {
		if !keep(key.Order) {
			kept := maps.Clone(totals)
			maps.DeleteFunc(kept, func(key Key, _ Counts) bool { return !keep(key.Order) })
			return kept
		}
	}
	return totals
}

// OnSide returns the counts of an order on one side, summed over all routes.
func (totals Totals) OnSide(order int64, side Side) Counts {
	var sum Counts
	for key, counts := range totals {
		if key.Order == order && key.Side == side {
			sum = sum.plus(counts, 1)
		}
	}
	return sum
}

// Sum adds up what peers report. Reports of an id grow, and count from the first one of it on. It is immutable.
type Sum struct {
	last  map[string]Totals
	total Totals
}

// WithReports returns the sum after the latest reports by id.
func (sum Sum) WithReports(reports map[string]Totals) Sum {
	for id, report := range reports {
		if last, known := sum.last[id]; known {
			sum.total = sum.total.Plus(report.GrowthSince(last))
		}
	}
	sum.last = reports
	return sum
}

// Of returns the sum with the orders for which keep returns true.
func (sum Sum) Of(keep func(order int64) bool) Sum {
	sum.total = sum.total.Of(keep)
	return sum
}

// Total returns what was counted since the first reports.
func (sum Sum) Total() Totals { return sum.total }
