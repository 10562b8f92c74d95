package quota

import (
	"maps"
	"time"
)

const (
	// expectTime bounds the time for which a silent peer is expected to go on at its rate.
	expectTime = 6 * time.Second
	// rateTime is the time over which a peer's rate is averaged.
	rateTime = 3 * time.Second
	// nearLimit is the part of the limit from which the peers' rates are carried forward.
	nearLimit = 0.7
	// debtTime bounds what a bucket can owe, in seconds of its rate. What is cut is never paid
	// back, and a large fleet lets several seconds' worth through before its entries hear of
	// each other.
	debtTime = 8.0
	// repayShare is what all entries together use of a limit while an excess is paid back and
	// for repayTime after that. Otherwise all of them would go on at once at the account's rate,
	// before they have heard of each other again.
	repayShare = 1.3
	repayTime  = 3 * time.Second
	// aloneShare is the part of a limit that an entry uses before it knows how fast the others use
	// it. Nine entries that start together stay within the limit.
	aloneShare = 0.08
)

// Bucket is one entry's copy of a client account's bucket.
type Bucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Duration
	// own is what this entry admitted since its start.
	own   float64
	peers map[string]report
	// alone tells that the entry does not know yet how fast the others use the limit.
	alone bool
	// entries is the number of entries that hold a copy.
	entries int
	// repaying tells that the account owed something lately, last at debtAt. Meanwhile,
	// this entry admits no more than its allowance.
	repaying  bool
	debtAt    time.Duration
	allowance float64
}

// report is what a peer said last.
type report struct {
	total float64
	rate  float64
	at    time.Duration
}

// New returns a bucket that is half full.
//
// A restarted entry does not know what the others admitted just before.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, level: burst / 2, at: now}
}

// Unsynced returns the bucket of an entry that has just started and does not know how fast the others
// use the limit. It holds little and fills slowly, since all entries may have started at
// once, and is the entry's own: what others admit takes nothing out.
func (bucket Bucket) Unsynced() Bucket {
	bucket.alone = true
	bucket.level = min(bucket.level, bucket.burst*aloneShare)
	return bucket
}

// Synced returns the bucket after the entry has learned the rates of the others, or has heard of nobody for a while.
func (bucket Bucket) Synced(now time.Duration) Bucket {
	if !bucket.alone {
		return bucket
	}
	bucket = bucket.Refilled(now)
	bucket.alone = false
	return bucket
}

// WithEntries returns the bucket with the number of entries that hold a copy.
func (bucket Bucket) WithEntries(count int) Bucket {
	bucket.entries = count
	return bucket
}

// Admitted returns what this entry admitted since its start.
func (bucket Bucket) Admitted() float64 { return bucket.own }

// Level returns what the bucket held at its last change, less than 0 for a debt.
func (bucket Bucket) Level() float64 { return bucket.level }

// Rate returns the limit, per second.
func (bucket Bucket) Rate() float64 { return bucket.rate }

// WithLimit returns the bucket with another limit; what it holds or owes is cut to the new one.
func (bucket Bucket) WithLimit(rate, burst float64, now time.Duration) Bucket {
	if rate == bucket.rate && burst == bucket.burst {
		return bucket
	}
	bucket = bucket.Refilled(now)
	bucket.rate, bucket.burst = rate, burst
	bucket.level = bucket.bounded(bucket.level)
	return bucket
}

// WithRequest returns the bucket after a request of that size, and whether it is within the limit.
func (bucket Bucket) WithRequest(size float64, now time.Duration) (Bucket, bool) {
	bucket = bucket.Refilled(now)
	if bucket.level <= 0 || !bucket.alone && bucket.level <= bucket.expected(now) || bucket.repaying && bucket.allowance <= 0 {
		return bucket, false
	}
	bucket.level -= size
	if bucket.repaying {
		bucket.allowance -= size
	}
	bucket.own += size
	return bucket, true
}

// WithRefund returns the bucket after a request that was let through did not run.
func (bucket Bucket) WithRefund(size float64) Bucket {
	bucket.level = min(bucket.burst, bucket.level+size)
	bucket.own -= size
	return bucket
}

// Wait returns the time until a request may be within the limit again.
func (bucket Bucket) Wait(now time.Duration) time.Duration {
	bucket = bucket.Refilled(now)
	missing := bucket.expected(now) - bucket.level
	if missing <= 0 || bucket.rate <= 0 {
		return 0
	}
	return time.Duration(missing / bucket.rate * float64(time.Second))
}

// WithReport returns the bucket after an incarnation of a peer stated, at a time, the total that it
// admitted. A total that did not change is news too, and an older statement changes nothing.
func (bucket Bucket) WithReport(peer string, total float64, at time.Duration) Bucket {
	last, known := bucket.peers[peer]
	if known && at <= last.at {
		return bucket
	}
	bucket = bucket.Refilled(at)
	next := report{total: total, at: at}
	if known {
		elapsed := max(at-last.at, time.Millisecond).Seconds()
		weight := min(1, elapsed/rateTime.Seconds())
		next.rate = last.rate + weight*((total-last.total)/elapsed-last.rate)
		if !bucket.alone {
			bucket.level = bucket.bounded(bucket.level - (total - last.total))
		}
	}
	peers := maps.Clone(bucket.peers)
	if peers == nil {
		peers = map[string]report{}
	}
	peers[peer] = next
	bucket.peers = peers
	return bucket
}

// WithLivePeers returns the bucket without the peers that have ended.
//
// What they admitted stays taken out, but they are not expected to go on.
func (bucket Bucket) WithLivePeers(alive map[string]bool) Bucket {
	for peer := range bucket.peers {
		if !alive[peer] {
			bucket.peers = maps.Clone(bucket.peers)
			maps.DeleteFunc(bucket.peers, func(peer string, _ report) bool { return !alive[peer] })
			return bucket
		}
	}
	return bucket
}

// expected returns what the peers are expected to have admitted since their reports.
//
// It matters only near the limit. Below it, a few large requests would pass for a rate.
func (bucket Bucket) expected(now time.Duration) float64 {
	sum, rate := 0.0, 0.0
	for _, peer := range bucket.peers {
		rate += max(0, peer.rate)
		sum += max(0, peer.rate) * min(now-peer.at, expectTime).Seconds()
	}
	if rate < nearLimit*bucket.rate {
		return 0
	}
	return sum
}

// Refilled returns the bucket with what came in until now.
func (bucket Bucket) Refilled(now time.Duration) Bucket {
	if now <= bucket.at {
		return bucket
	}
	rate := bucket.rate
	if bucket.alone {
		rate *= aloneShare
	}
	bucket.level = bucket.bounded(bucket.level + rate*(now-bucket.at).Seconds())
	bucket = bucket.withAllowance(now)
	bucket.at = now
	return bucket
}

// withAllowance returns the bucket with what this entry may admit while an excess is paid back.
func (bucket Bucket) withAllowance(now time.Duration) Bucket {
	share := min(1, repayShare/float64(max(1, bucket.entries)))
	bucket.allowance = min(share*bucket.burst, bucket.allowance+share*bucket.rate*(now-bucket.at).Seconds())
	switch {
	case bucket.level < 0 && !bucket.repaying:
		bucket.repaying, bucket.allowance, bucket.debtAt = true, 0, now
	case bucket.level < 0:
		bucket.debtAt = now
	case now-bucket.debtAt > repayTime:
		bucket.repaying = false
	}
	return bucket
}

func (bucket Bucket) bounded(level float64) float64 {
	return max(-debtTime*bucket.rate, min(bucket.burst, level))
}
