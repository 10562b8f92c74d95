package quota

import (
	"maps"
	"time"
)

const (
	// extrapolationLimit bounds the time for which the rate of a peer without reports is extrapolated.
	extrapolationLimit = 6 * time.Second
	// rateWindow is the time over which the rate of a peer is averaged.
	rateWindow = 3 * time.Second
	// extrapolationThreshold is the fraction of the limit that the peers' rates must add up to before
	// they are extrapolated.
	extrapolationThreshold = 0.7
	// maxDebtSeconds bounds the debt of a bucket, in seconds of its rate. Debt beyond the bound is
	// never paid off, so the bound must cover the several seconds' worth of requests that a large
	// fleet admits before its entries receive each other's reports.
	maxDebtSeconds = 8.0
	// recoveryFraction is the multiple of a limit that all entries together may use while a debt is
	// paid off and for recoveryTime after that. Without it, each of them would admit requests at the
	// account's full rate as soon as its copy has no debt, before it has received new reports.
	recoveryFraction = 1.3
	recoveryTime     = 3 * time.Second
	// unsyncedFraction is the fraction of a limit that an entry uses before it has the rates of its
	// peers. Nine entries that start together stay within the limit.
	unsyncedFraction = 0.08
)

// Bucket is one entry's copy of a client account's token bucket. Times are offsets from any
// fixed start, and rates are per second.
type Bucket struct {
	rate      float64
	burst     float64
	level     float64
	updatedAt time.Duration
	// admitted is the total size of the requests that this entry admitted since its start.
	admitted float64
	peers    map[string]peerReport
	// unsynced reports that the entry does not have the rates of its peers yet.
	unsynced bool
	// entries is the number of entries that hold a copy.
	entries int
	// recovering reports that the bucket is in debt or was so less than recoveryTime ago, last
	// at lastDebtAt.
	recovering bool
	lastDebtAt time.Duration
	// allowance is the size of the requests that this entry may still admit while it recovers.
	allowance float64
}

// peerReport is the latest report of a peer: the total that it admitted and its averaged rate.
type peerReport struct {
	total      float64
	rate       float64
	reportedAt time.Duration
}

// New returns a bucket that is half full, because a restarted entry has no reports of what its peers
// admitted just before. The rate is per second.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, level: burst / 2, updatedAt: now}
}

// Unsynced returns the bucket for an entry that has just started and does not have the rates of its
// peers. It is small and fills slowly, since all entries may have started at once, and
// requests that the peers admit are not subtracted from it.
func (bucket Bucket) Unsynced() Bucket {
	bucket.unsynced = true
	bucket.level = min(bucket.level, bucket.burst*unsyncedFraction)
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

// WithEntries returns the bucket with the number of entries that hold a copy set.
func (bucket Bucket) WithEntries(count int) Bucket {
	bucket.entries = count
	return bucket
}

// Admitted returns the total size of the requests that this entry admitted since its start.
func (bucket Bucket) Admitted() float64 { return bucket.admitted }

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
	bucket.rate, bucket.burst = rate, burst
	bucket.level = bucket.clamped(bucket.level)
	return bucket
}

// WithRequest returns the bucket after a request of the given size, and whether the request is admitted.
func (bucket Bucket) WithRequest(size float64, now time.Duration) (Bucket, bool) {
	bucket = bucket.Refilled(now)
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

// WithRefund returns the bucket with the size of an admitted request that did not run added back.
func (bucket Bucket) WithRefund(size float64) Bucket {
	bucket.level = min(bucket.burst, bucket.level+size)
	bucket.admitted -= size
	return bucket
}

// Wait returns the time until the bucket may admit a request again.
func (bucket Bucket) Wait(now time.Duration) time.Duration {
	bucket = bucket.Refilled(now)
	missing := bucket.extrapolated(now) - bucket.level
	if missing <= 0 || bucket.rate <= 0 {
		return 0
	}
	return time.Duration(missing / bucket.rate * float64(time.Second))
}

// WithReport returns the bucket after a peer reported the total that it had admitted at reportedAt.
// The peer is identified by its incarnation, since each incarnation counts from 0. An unchanged
// total still lowers the averaged rate of the peer, and a report that is not later than the
// previous one changes nothing.
func (bucket Bucket) WithReport(peer string, total float64, reportedAt time.Duration) Bucket {
	previous, found := bucket.peers[peer]
	if found && reportedAt <= previous.reportedAt {
		return bucket
	}
	bucket = bucket.Refilled(reportedAt)
	next := peerReport{total: total, reportedAt: reportedAt}
	if found {
		elapsed := max(reportedAt-previous.reportedAt, time.Millisecond).Seconds()
		weight := min(1, elapsed/rateWindow.Seconds())
		next.rate = previous.rate + weight*((total-previous.total)/elapsed-previous.rate)
		if !bucket.unsynced {
			bucket.level = bucket.clamped(bucket.level - (total - previous.total))
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

// WithLivePeers returns the bucket without the peers that are not in live, which have ended.
//
// What they admitted stays subtracted, but their rates are no longer extrapolated.
func (bucket Bucket) WithLivePeers(live map[string]bool) Bucket {
	for peer := range bucket.peers {
		if !live[peer] {
			bucket.peers = maps.Clone(bucket.peers)
			maps.DeleteFunc(bucket.peers, func(peer string, _ peerReport) bool { return !live[peer] })
			return bucket
		}
	}
	return bucket
}

// extrapolated returns what the peers are estimated to have admitted since their reports.
//
// It is 0 unless the peers' rates are near the limit. Below that, a few large requests would
// be mistaken for a rate.
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

// Refilled returns the bucket refilled up to now.
func (bucket Bucket) Refilled(now time.Duration) Bucket {
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

// withAllowance returns the bucket with the entry's allowance and recovery state updated to now.
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

// clamped returns a level within the largest debt and the burst.
func (bucket Bucket) clamped(level float64) float64 {
	return max(-maxDebtSeconds*bucket.rate, min(bucket.burst, level))
}
