package quota

import (
	"math"
	"time"
)

const (
	// correctionDelays is the time in which the admitted rate would bring a level back to 0, in delays of the reports.
	// The level oscillates if it is much shorter.
	correctionDelays = 3.0
	// closingDelays is the debt from which nothing is admitted, as the time in which the limit pays it off, in delays
	// of the reports.
	closingDelays = 1.6
	// freeLevel is the fraction of the burst above which every request is admitted: an account within its limit
	// is not held to a share of it.
	freeLevel = 0.5
	// maxFractionWait bounds the wait of callers while a fraction of the requests is admitted.
	maxFractionWait = 2 * time.Second
	// minWaitFraction is the fraction that the wait is computed by if the actual one is lower, which may be 0. The wait by it exceeds
	// maxFractionWait already.
	minWaitFraction = 0.1
)

// closingDebt returns the debt from which nothing is admitted.
func (bucket Bucket) closingDebt() float64 {
	return closingDelays * bucket.delay.Seconds() * bucket.rate
}

// Wait returns the time until the bucket may admit a request again. While only a fraction is admitted, it is the
// reciprocal of that fraction less 1, in seconds, so that callers come back at about the rate of the limit.
func (bucket Bucket) Wait(now time.Duration) time.Duration {
	bucket = bucket.Refilled(now)
	if bucket.rate <= 0 {
		return 0
	}
	missing := -bucket.closingDebt() - bucket.estimatedLevel(now)
	if bucket.unsynced {
		missing = -bucket.level // An unsynced bucket admits nothing while it is in debt.
	}
	if missing > 0 {
		return time.Duration(missing / bucket.fillRate() * float64(time.Second))
	}
	fraction := bucket.admittedFraction(now)
	if fraction >= 1 {
		return 0
	}
	return min(maxFractionWait, time.Duration((1/max(fraction, minWaitFraction)-1)*float64(time.Second)))
}

// admittedFraction returns the fraction of requests to admit, at least 0; all are admitted from 1 on.
//
// It is what the limit is of all that the account asks for, corrected so that the level returns to 0.
func (bucket Bucket) admittedFraction(now time.Duration) float64 {
	if bucket.unsynced && bucket.level > 0 {
		return 1
	}
	if bucket.unsynced {
		return 0
	}
	level := bucket.estimatedLevel(now)
	if level > freeLevel*bucket.burst {
		return 1
	}
	factor := 1 + level/(correctionDelays*bucket.delay.Seconds()*bucket.rate)
	if level < 0 {
		factor = 1 + level/bucket.closingDebt()
	}
	asked := bucket.totalAskedRate(now)
	if bucket.window.Length > 0 && asked <= nearLimit*bucket.rate {
		return bucket.windowRate(now) / max(asked, math.SmallestNonzeroFloat64)
	}
	return max(0, factor*bucket.rate) / max(asked, math.SmallestNonzeroFloat64)
}

// Estimate is what a bucket knows of the use of a limit by all entries.
type Estimate struct {
	// Level is the estimated level, negative for a debt.
	Level float64
	// AskedRate is what the account asks for at all entries, per second, and Fraction the part of it that is admitted.
	AskedRate float64
	Fraction  float64
	// ReportAge is the age of the oldest report of a peer, 0 without any.
	ReportAge time.Duration
}

// Estimate returns what the bucket knows at a time.
func (bucket Bucket) Estimate(now time.Duration) Estimate {
	bucket = bucket.Refilled(now)
	estimate := Estimate{Level: bucket.estimatedLevel(now), AskedRate: bucket.totalAskedRate(now), Fraction: min(1, bucket.admittedFraction(now))}
	for _, peer := range bucket.peers {
		estimate.ReportAge = max(estimate.ReportAge, now-peer.At)
	}
	return estimate
}

// totalAskedRate returns the estimated rate that the account asks for at all entries.
func (bucket Bucket) totalAskedRate(now time.Duration) float64 {
	growth := bucket.growth(now)
	asked := min(1, growth)*bucket.askedRate + bucket.ended.askedRate*bucket.fading(now, bucket.ended.At)
	for _, peer := range bucket.peers {
		asked += growth * max(0, bucket.changedRate(peer))
	}
	return asked
}

// estimatedLevel returns the level less what the peers are estimated to have admitted since their reports.
func (bucket Bucket) estimatedLevel(now time.Duration) float64 {
	return bucket.level - bucket.unreported(0, now, bucket.growth(now))
}
