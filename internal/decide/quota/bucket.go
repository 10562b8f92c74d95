package quota

import (
	"maps"
	"time"
)

const (
	// extrapolationLimit bounds the time for which a silent peer is expected to go on at its rate.
	extrapolationLimit = 6 * time.Second
	// rateWindow is the time over which a peer's rate is averaged.
	rateWindow = 3 * time.Second
	// extrapolationThreshold is the part of the limit from which the peers' rates are carried forward.
	extrapolationThreshold = 0.7
	// maxDebtSeconds bounds what a bucket can owe, in seconds of its rate. What is cut is never paid
	// back, and a large fleet lets several seconds' worth through before its entries hear of
	// each other.
	maxDebtSeconds = 8.0
	// recoveryFraction is what all entries together use of a limit while an excess is paid back and
	// for repayTime after that. Otherwise all of them would go on at once at the account's rate,
	// before they have heard of each other again.
	recoveryFraction = 1.3
	recoveryTime  = 3 * time.Second
	// unsyncedFraction is the part of a limit that an entry uses before it knows how fast the others use
	// it. Nine entries that start together stay within the limit.
	unsyncedFraction = 0.08
)

// Bucket is one entry's copy of a client account's bucket.
type Bucket struct {
	rate  float64
	burst float64
	level float64
	updatedAt    time.Duration
	// admitted is what this entry admitted since its start.
	admitted   float64
	peers map[string]peerReport
	// unsynced tells that the entry does not know yet how fast the others use the limit.
	unsynced bool
	// entries is the number of entries that hold a copy.
	entries int
	// recovering tells that the account owed something lately, last at debtAt. Meanwhile,
	// this entry admits no more than its allowance.
	recovering  bool
	lastDebtAt    time.Duration
	allowance float64
}

// peerReport is what a peer said last.
type peerReport struct {
	total float64
	rate  float64
	reportedAt    time.Duration
}

// New returns a bucket that is half full.
//
// A restarted entry does not know what the others admitted just before.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, level: burst / 2, updatedAt: now}
}

// Alone returns the bucket of an entry that has just started and does not know how fast the others
// use the limit. It holds little and fills slowly, since all entries may have started at
// once, and is the entry's own: what others admit takes nothing out.
func (bucket Bucket) Alone() Bucket {
	bucket.unsynced = true
	bucket.level = min(bucket.level, bucket.burst*unsyncedFraction)
	return bucket
}

// Joined returns the bucket after the entry has learned the rates of the others, or has heard of nobody for a while.
func (bucket Bucket) Joined(now time.Duration) Bucket {
	if !bucket.unsynced {
		return bucket
	}
	bucket = bucket.Filled(now)
	bucket.unsynced = false
	return bucket
}

// WithEntries returns the bucket with the number of entries that hold a copy.
func (bucket Bucket) WithEntries(count int) Bucket {
	bucket.entries = count
	return bucket
}

// Own returns what this entry admitted since its start.
func (bucket Bucket) Own() float64 { return bucket.admitted }

// Level returns what the bucket held at its last change, less than 0 for a debt.
func (bucket Bucket) Level() float64 { return bucket.level }

// Rate returns the limit, per second.
func (bucket Bucket) Rate() float64 { return bucket.rate }

// WithLimit returns the bucket with another limit; what it holds or owes is cut to the new one.
func (bucket Bucket) WithLimit(rate, burst float64, now time.Duration) Bucket {
	if rate == bucket.rate && burst == bucket.burst {
		return bucket
	}
	bucket = bucket.Filled(now)
	bucket.rate, bucket.burst = rate, burst
	bucket.level = bucket.clamped(bucket.level)
	return bucket
}

// WithRequest returns the bucket after a request of that size, and whether it is within the limit.
func (bucket Bucket) WithRequest(size float64, now time.Duration) (Bucket, bool) {
	bucket = bucket.Filled(now)
	if bucket.level <= 0 || !bucket.unsynced && bucket.level <= bucket.extrapolated(now) || bucket.recovering && bucket.allowance <= 0 {
		return bucket, false
	}
	bucket.level -= size
	if bucket.recovering {
		bucket.allowance -= size
	}
	bucket.admitted += size
	return bucket, true
}

// WithReturn returns the bucket after a request that was let through did not run.
func (bucket Bucket) WithReturn(size float64) Bucket {
	bucket.level = min(bucket.burst, bucket.level+size)
	bucket.admitted -= size
	return bucket
}

// Wait returns the time until a request may be within the limit again.
func (bucket Bucket) Wait(now time.Duration) time.Duration {
	bucket = bucket.Filled(now)
	missing := bucket.extrapolated(now) - bucket.level
	if missing <= 0 || bucket.rate <= 0 {
		return 0
	}
	return time.Duration(missing / bucket.rate * float64(time.Second))
}

// WithReport returns the bucket after an incarnation of a peer stated, at a time, the total that it
// admitted. A total that did not change is news too, and an older statement changes nothing.
func (bucket Bucket) WithReport(peer string, total float64, at time.Duration) Bucket {
	last, known := bucket.peers[peer]
	if known && at <= last.reportedAt {
		return bucket
	}
	bucket = bucket.Filled(at)
	next := peerReport{total: total, reportedAt: at}
	if known {
		elapsed := max(at-last.reportedAt, time.Millisecond).Seconds()
		weight := min(1, elapsed/rateWindow.Seconds())
		next.rate = last.rate + weight*((total-last.total)/elapsed-last.rate)
		if !bucket.unsynced {
			bucket.level = bucket.clamped(bucket.level - (total - last.total))
		}
	}
	peers := maps.Clone(bucket.peers)
	if peers == nil {
		peers = map[string]peerReport{}
	}
	peers[peer] = next
	bucket.peers = peers
	return bucket
}

// WithOnly returns the bucket without the peers that have ended.
//
// What they admitted stays taken out, but they are not expected to go on.
func (bucket Bucket) WithOnly(alive map[string]bool) Bucket {
	for peer := range bucket.peers {
		if !alive[peer] {
			bucket.peers = maps.Clone(bucket.peers)
			maps.DeleteFunc(bucket.peers, func(peer string, _ peerReport) bool { return !alive[peer] })
			return bucket
		}
	}
	return bucket
}

// extrapolated returns what the peers are expected to have admitted since their reports.
//
// It matters only near the limit. Below it, a few large requests would pass for a rate.
func (bucket Bucket) extrapolated(now time.Duration) float64 {
	sum, rate := 0.0, 0.0
	for _, peer := range bucket.peers {
		rate += max(0, peer.rate)
		sum += max(0, peer.rate) * min(now-peer.reportedAt, extrapolationLimit).Seconds()
	}
	if rate < extrapolationThreshold*bucket.rate {
		return 0
	}
	return sum
}

// Filled returns the bucket with what came in until now.
func (bucket Bucket) Filled(now time.Duration) Bucket {
	if now <= bucket.updatedAt {
		return bucket
	}
	rate := bucket.rate
	if bucket.unsynced {
		rate *= unsyncedFraction
	}
	bucket.level = bucket.clamped(bucket.level + rate*(now-bucket.updatedAt).Seconds())
	bucket = bucket.withAllowance(now)
	bucket.updatedAt = now
	return bucket
}

// withAllowance returns the bucket with what this entry may admit while an excess is paid back.
func (bucket Bucket) withAllowance(now time.Duration) Bucket {
	share := min(1, recoveryFraction/float64(max(1, bucket.entries)))
	bucket.allowance = min(share*bucket.burst, bucket.allowance+share*bucket.rate*(now-bucket.updatedAt).Seconds())
	switch {
	case bucket.level < 0 && !bucket.recovering:
		bucket.recovering, bucket.allowance, bucket.lastDebtAt = true, 0, now
	case bucket.level < 0:
		bucket.lastDebtAt = now
	case now-bucket.lastDebtAt > recoveryTime:
		bucket.recovering = false
	}
	return bucket
}

func (bucket Bucket) clamped(level float64) float64 {
	return max(-maxDebtSeconds*bucket.rate, min(bucket.burst, level))
}
