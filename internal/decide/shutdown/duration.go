package shutdown

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new sample, those of TCP's estimate of the round-trip time (RFC 6298).
	meanWeight      = 0.125
	deviationWeight = 0.25
	// deviations is the number of mean deviations above the mean within which almost all calls end (RFC 6298).
	deviations = 4
)

// Duration estimates how long calls take. It is immutable; the zero value has no samples.
type Duration struct {
	mean, deviation float64
	sampled         bool
}

// WithSample returns the estimate after a call has ended.
func (duration Duration) WithSample(sample time.Duration) Duration {
	if !duration.sampled {
		// As in RFC 6298, half of the first sample stands for the deviation that one sample cannot show.
		return Duration{mean: float64(sample), deviation: float64(sample) / 2, sampled: true}
	}
	difference := float64(sample) - duration.mean
	duration.mean += meanWeight * difference
	duration.deviation += deviationWeight * (max(difference, -difference) - duration.deviation)
	return duration
}

// limit returns the time within which almost all calls end, and false without samples.
func (duration Duration) limit() (time.Duration, bool) {
	return time.Duration(duration.mean + deviations*duration.deviation), duration.sampled
}

// CanEnd reports whether a call that begins now ends before cutoff: within the limit of the calls before it, or, whatever it takes,
// at its deadline.
func (duration Duration) CanEnd(now, deadline, cutoff time.Time) bool {
	if !deadline.After(cutoff) {
		return true
	}
	limit, known := duration.limit()
	return known && !now.Add(limit).After(cutoff)
}
