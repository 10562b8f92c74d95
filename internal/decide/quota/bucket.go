package quota

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/decay"
)

const (
	// minRateWindow is the shortest time over which rates are averaged, and rateWindowDelays that time in delays of the
	// reports. A longer one holds an account to a fraction after it has stopped to ask for more than its limit.
	minRateWindow    = time.Second
	rateWindowDelays = 1.6
	// maxDebtSeconds bounds the debt of a bucket, in seconds of its rate. Debt beyond the bound is
	// never paid off, so the bound must cover the several seconds' worth of requests that a large
	// fleet admits before its entries receive each other's reports.
	maxDebtSeconds = 8.0
	// defaultDelay is the delay of the reports until another one is set.
	defaultDelay = 1400 * time.Millisecond
	// unsyncedShare is the part of a limit that all entries use together while they do not have each other's rates.
	// An entry uses its share of that, at most maxUnsyncedFraction of the limit.
	unsyncedShare       = 0.72
	maxUnsyncedFraction = 0.08
)

// Bucket is one entry's copy of a client account's token bucket. Times are offsets from any
// fixed start, and rates are per second.
type Bucket struct {
	rate      float64
	burst     float64
	level     float64
	updatedAt time.Duration
	// admitted and asked are the total sizes of the requests that this entry admitted and received since its start.
	admitted float64
	asked    float64
	// askedRate is the averaged rate of asked at updatedAt.
	askedRate float64
	peers     map[string]peerReport
	// ended are the rates of peers that have ended, as of its At, until another peer is reported, which inherits them:
	// entries that an ended aggregator reported are soon reported by another one, and callers of an ended entry ask
	// others. Until then they fade.
	ended peerReport
	// unsynced reports that the entry does not have the rates of its peers yet.
	unsynced bool
	// unsyncedFraction is the fraction of the limit that the entry uses before that.
	unsyncedFraction float64
	// delay is the time that a report of a peer takes.
	delay time.Duration
	// window is the rule by which the limit is judged, zero for none.
	window Window
	// history is what all entries admitted, as far as it is known, and askedHistory what this one was asked for.
	history      history
	askedHistory history
	// requestSizes are those of this entry.
	requestSizes requestSizes
}

// New returns a bucket that is half full, because a restarted entry has no reports of what its peers
// admitted just before. The rate is per second.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, level: burst / 2, updatedAt: now, delay: defaultDelay, history: newHistory(rate, now)}
}

// Unsynced returns the bucket for an entry that has just started and does not have the rates of its
// peers. It is small and fills slowly, since all entries, of which there are the given number, may have started at
// once, and requests that the peers admit are not subtracted from it.
func (bucket Bucket) Unsynced(entries int) Bucket {
	bucket.unsynced = true
	return bucket.WithUnsyncedEntries(entries)
}

// WithUnsyncedEntries returns the bucket with another number of entries, while it does not have their rates. Its share of the
// burst grows with its share of the rate.
func (bucket Bucket) WithUnsyncedEntries(entries int) Bucket {
	if !bucket.unsynced {
		return bucket
	}
	fraction := min(maxUnsyncedFraction, unsyncedShare/float64(max(1, entries)))
	bucket.level = min(bucket.level+bucket.burst*max(0, fraction-bucket.unsyncedFraction), bucket.burst*fraction)
	bucket.unsyncedFraction = fraction
	return bucket
}

// Synced returns the bucket after the entry has received the rates of its peers, or has
// waited for them long enough.
func (bucket Bucket) Synced(now time.Duration) Bucket {
	if !bucket.unsynced {
		return bucket
	}
	bucket = bucket.Refilled(now)
	bucket.unsynced = false
	return bucket
}

// WithDelay returns the bucket with the time set that a report of a peer takes, from a request there until it counts here.
func (bucket Bucket) WithDelay(delay time.Duration) Bucket {
	bucket.delay = delay
	return bucket
}

// rateWindow returns the time over which rates are averaged.
func (bucket Bucket) rateWindow() time.Duration {
	return max(minRateWindow, time.Duration(rateWindowDelays*float64(bucket.delay)))
}

// Admitted returns the total size of the requests that this entry admitted since its start.
func (bucket Bucket) Admitted() float64 { return bucket.admitted }

// Asked returns the total size of the requests that this entry received since its start.
func (bucket Bucket) Asked() float64 { return bucket.asked }

// Level returns the level of the bucket at its last change, negative for a debt.
func (bucket Bucket) Level() float64 { return bucket.level }

// Rate returns the limit, per second.
func (bucket Bucket) Rate() float64 { return bucket.rate }

// WithLimit returns the bucket with another limit; its level is clamped to the burst and
// the maximum debt of the new limit.
func (bucket Bucket) WithLimit(rate, burst float64, now time.Duration) Bucket {
	if rate == bucket.rate && burst == bucket.burst {
		return bucket
	}
	bucket = bucket.Refilled(now)
	if rate < bucket.rate {
		// What was admitted by the earlier limit is not paid back by the lower one.
		bucket.history = bucket.history.scaled(rate / bucket.rate)
	}
	bucket.rate, bucket.burst = rate, burst
	bucket.level = bucket.clamped(bucket.level)
	return bucket
}

// WithRequest returns the bucket after a request of the given size, and whether the request is admitted. Draw is a
// random number in [0, 1).
//
// An account that asks for more than its limit gets it in the same proportion at every entry: each admits the fraction
// of its requests that the limit is of all that the account asks for. So the entries admit the limit together, however
// the requests are spread over them, and the reports that this depends on may be old, since what is asked for does not
// depend on what is admitted.
//
// A request that exceeds a window is not admitted and does not count as asked for, since it would leave nothing to the others.
func (bucket Bucket) WithRequest(size, draw float64, now time.Duration) (Bucket, bool) {
	bucket = bucket.Refilled(now)
	if bucket.ExceedsWindow(size) {
		return bucket, false
	}
	bucket.asked += size
	bucket.askedRate += size / bucket.rateWindow().Seconds()
	bucket.askedHistory = bucket.askedHistory.withSize(size, now, now)
	bucket.requestSizes = bucket.requestSizes.withSize(size)
	if draw >= bucket.admittedFraction(now) {
		return bucket, false
	}
	bucket.level -= size
	bucket.admitted += size
	bucket.history = bucket.history.withSize(size, now, now)
	return bucket, true
}

// WithRefund returns the bucket with the size of an admitted request that did not run added back.
func (bucket Bucket) WithRefund(size float64) Bucket {
	bucket.level = min(bucket.burst, bucket.level+size)
	bucket.admitted -= size
	bucket.history = bucket.history.without(size)
	return bucket
}

// Refilled returns the bucket refilled up to now.
func (bucket Bucket) Refilled(now time.Duration) Bucket {
	if now <= bucket.updatedAt {
		return bucket
	}
	elapsed := now - bucket.updatedAt
	bucket.level = bucket.clamped(bucket.level + bucket.fillRate()*elapsed.Seconds())
	bucket.askedRate *= decay.ByConstant(elapsed, bucket.rateWindow())
	bucket.updatedAt = now
	return bucket
}

// fillRate returns the rate at which the level rises.
func (bucket Bucket) fillRate() float64 {
	if bucket.unsynced {
		return bucket.rate * bucket.unsyncedFraction
	}
	return bucket.rate
}

// clamped returns a level within the largest debt and the burst.
func (bucket Bucket) clamped(level float64) float64 {
	return max(-maxDebtSeconds*bucket.rate, min(bucket.burst, level))
}
