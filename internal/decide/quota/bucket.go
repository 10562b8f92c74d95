package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// extrapolationLimit bounds the time for which the rate of a peer without reports is extrapolated.
	extrapolationLimit = 6 * time.Second
	// endedFading is the time constant with which the rates of ended peers fade.
	endedFading = 2500 * time.Millisecond
	// minRateWindow is the shortest time over which rates are averaged, and rateWindowDelays that time in delays of the
	// reports. A longer one holds an account to a fraction after it has stopped to ask for more than its limit.
	minRateWindow    = time.Second
	rateWindowDelays = 1.6
	// maxDebtSeconds bounds the debt of a bucket, in seconds of its rate. Debt beyond the bound is
	// never paid off, so the bound must cover the several seconds' worth of requests that a large
	// fleet admits before its entries receive each other's reports.
	maxDebtSeconds = 8.0
	// correctionDelays is the time in which the admitted rate would bring a level back to 0, in delays of the reports.
	// The level oscillates if it is much shorter.
	correctionDelays = 3.0
	// closingDelays is the debt from which nothing is admitted, as the time in which the limit pays it off, in delays
	// of the reports.
	closingDelays = 1.6
	// defaultDelay is the delay of the reports until another one is set.
	defaultDelay = 1400 * time.Millisecond
	// freeLevel is the fraction of the burst above which every request is admitted: an account within its limit
	// is not held to a share of it.
	freeLevel = 0.5
	// maxFractionWait bounds the wait of callers while a fraction of the requests is admitted.
	maxFractionWait = 2 * time.Second
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
}

// Report is what a peer, or a group of peers, has counted since its start.
type Report struct {
	// Admitted and Asked are the total sizes of the requests that it admitted and received.
	Admitted float64
	Asked    float64
	// At is the time of the counts.
	At time.Duration
}

// peerReport is the latest report of a peer, and its averaged rates since its first report.
type peerReport struct {
	Report
	firstAt      time.Duration
	admittedRate float64
	askedRate    float64
}

// New returns a bucket that is half full, because a restarted entry has no reports of what its peers
// admitted just before. The rate is per second.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, level: burst / 2, updatedAt: now, delay: defaultDelay}
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

// closingDebt returns the debt from which nothing is admitted.
func (bucket Bucket) closingDebt() float64 {
	return closingDelays * bucket.delay.Seconds() * bucket.rate
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
func (bucket Bucket) WithRequest(size, draw float64, now time.Duration) (Bucket, bool) {
	bucket = bucket.Refilled(now)
	bucket.asked += size
	bucket.askedRate += size / bucket.rateWindow().Seconds()
	if draw >= bucket.admittedFraction(now) {
		return bucket, false
	}
	bucket.level -= size
	bucket.admitted += size
	return bucket, true
}

// WithRefund returns the bucket with the size of an admitted request that did not run added back.
func (bucket Bucket) WithRefund(size float64) Bucket {
	bucket.level = min(bucket.burst, bucket.level+size)
	bucket.admitted -= size
	return bucket
}

// Wait returns the time until the bucket may admit a request again. While only a fraction is admitted, it is the
// reciprocal of that fraction in seconds, so that callers come back at about the rate of the limit.
func (bucket Bucket) Wait(now time.Duration) time.Duration {
	bucket = bucket.Refilled(now)
	if bucket.rate <= 0 {
		return 0
	}
	fill := bucket.rate
	if bucket.unsynced {
		fill *= bucket.unsyncedFraction
	}
	missing := -bucket.closingDebt() - bucket.estimatedLevel(now)
	if bucket.unsynced {
		missing = -bucket.level // An unsynced bucket admits nothing while it is in debt.
	}
	if missing > 0 {
		return time.Duration(missing / fill * float64(time.Second))
	}
	fraction := bucket.admittedFraction(now)
	if fraction >= 1 {
		return 0
	}
	return min(maxFractionWait, time.Duration((1/max(fraction, 0.1)-1)*float64(time.Second)))
}

// WithReport returns the bucket after a report of a peer. The peer is identified by its incarnation, since each
// incarnation counts from 0. Unchanged totals still lower the averaged rates of the peer, and a report that is not later
// than the previous one changes nothing.
func (bucket Bucket) WithReport(peer string, report Report) Bucket {
	previous, found := bucket.peers[peer]
	if found && report.At <= previous.At {
		return bucket
	}
	bucket = bucket.Refilled(report.At)
	next := peerReport{Report: report, firstAt: report.At}
	if !found {
		bucket, next = bucket.withInheritance(next)
	} else {
		next.firstAt = previous.firstAt
		elapsed, window := max(report.At-previous.At, time.Millisecond).Seconds(), bucket.rateWindow()
		// Until the reports cover half of the window, the first ones have more weight, so that the rate is not too low.
		weight := min(1, elapsed/min(window, max(report.At-next.firstAt, window/2)).Seconds())
		next.admittedRate = previous.admittedRate + weight*((report.Admitted-previous.Admitted)/elapsed-previous.admittedRate)
		next.askedRate = previous.askedRate + weight*((report.Asked-previous.Asked)/elapsed-previous.askedRate)
		if !bucket.unsynced {
			bucket.level = bucket.clamped(bucket.level - (report.Admitted - previous.Admitted))
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

// withInheritance returns the bucket and a new peer with the rates of the peers that have ended.
//
// The new peer counts from its first report on, so what was admitted between the last reports of the ended ones and that
// is estimated.
func (bucket Bucket) withInheritance(peer peerReport) (Bucket, peerReport) {
	ended := bucket.ended
	bucket.ended = peerReport{}
	if ended.askedRate == 0 && ended.admittedRate == 0 {
		return bucket, peer
	}
	left := bucket.fading(peer.At, ended.At)
	peer.admittedRate, peer.askedRate = ended.admittedRate*left, ended.askedRate*left
	peer.firstAt -= bucket.rateWindow() // Its rates are known already.
	if !bucket.unsynced {
		gap := max(0, min(peer.At-ended.At, bucket.delay)).Seconds()
		bucket.level = bucket.clamped(bucket.level - peer.admittedRate*gap)
	}
	return bucket, peer
}

// WithLivePeers returns the bucket without the peers that are not in live, which have ended.
//
// What they admitted stays subtracted, but what they admit is no longer extrapolated.
func (bucket Bucket) WithLivePeers(live map[string]bool, now time.Duration) Bucket {
	var peers map[string]peerReport
	for peer, report := range bucket.peers {
		if live[peer] {
			continue
		}
		if peers == nil {
			peers = maps.Clone(bucket.peers)
		}
		delete(peers, peer)
		left := bucket.fading(report.At, bucket.ended.At)
		bucket.ended.admittedRate = bucket.ended.admittedRate*left + max(0, report.admittedRate)
		bucket.ended.askedRate = bucket.ended.askedRate*left + max(0, report.askedRate)
		bucket.ended.At = report.At
	}
	if peers == nil {
		return bucket
	}
	bucket = bucket.Refilled(now)
	bucket.peers = peers
	return bucket
}

// fading returns the part of the rates of ended peers that is left at a time; since is the time of their last reports.
// They fade once a report is overdue.
func (bucket Bucket) fading(now, since time.Duration) float64 {
	return math.Exp(-max(0, now-since-bucket.delay).Seconds() / endedFading.Seconds())
}

// admittedFraction returns the fraction of requests to admit, at least 0; all are admitted from 1 on.
//
// It is what the limit is of all that the account asks for, corrected so that the level returns to 0.
func (bucket Bucket) admittedFraction(now time.Duration) float64 {
	if bucket.unsynced {
		return boolFraction(bucket.level > 0)
	}
	level := bucket.estimatedLevel(now)
	if level > freeLevel*bucket.burst {
		return 1
	}
	factor := 1 + level/(correctionDelays*bucket.delay.Seconds()*bucket.rate)
	if level < 0 {
		factor = 1 + level/bucket.closingDebt()
	}
	return max(0, factor*bucket.rate) / max(bucket.totalAskedRate(now), math.SmallestNonzeroFloat64)
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
	asked := bucket.askedRate + bucket.ended.askedRate*bucket.fading(now, bucket.ended.At)
	for _, peer := range bucket.peers {
		asked += max(0, peer.askedRate)
	}
	return asked
}

// estimatedLevel returns the level less what the peers are estimated to have admitted since their reports.
func (bucket Bucket) estimatedLevel(now time.Duration) float64 {
	level := bucket.level
	for _, peer := range bucket.peers {
		level -= max(0, peer.admittedRate) * min(now-peer.At, extrapolationLimit).Seconds()
	}
	return level
}

// Refilled returns the bucket refilled up to now.
func (bucket Bucket) Refilled(now time.Duration) Bucket {
	if now <= bucket.updatedAt {
		return bucket
	}
	rate, elapsed := bucket.rate, (now - bucket.updatedAt).Seconds()
	if bucket.unsynced {
		rate *= bucket.unsyncedFraction
	}
	bucket.level = bucket.clamped(bucket.level + rate*elapsed)
	bucket.askedRate *= math.Exp(-elapsed / bucket.rateWindow().Seconds())
	bucket.updatedAt = now
	return bucket
}

// clamped returns a level within the largest debt and the burst.
func (bucket Bucket) clamped(level float64) float64 {
	return max(-maxDebtSeconds*bucket.rate, min(bucket.burst, level))
}

func boolFraction(all bool) float64 {
	if all {
		return 1
	}
	return 0
}
