package account

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// burstSeconds is how much of a rate may be used at once, in seconds of that rate; callers
// send in small batches, and a batch within one second's rate is within the limit.
const burstSeconds = 1.0

// concurrencyRetryAfter is when to retry after too many requests in progress; the end of
// one is not known, so this is about the length of short work.
const concurrencyRetryAfter = 500 * time.Millisecond

// demandWindow is the time over which the demand that peers are told is averaged.
const demandWindow = 5 * time.Second

// Limits is the use of one client account's limits at one entry.
type Limits struct {
	shares   Shares
	running  int
	requests debtBucket
	tokens   debtBucket
	// demand is the mean rate of requests offered, accepted or not.
	demand average
}

// Verdict says whether a request is within the limits.
type Verdict struct {
	Accepted bool
	// Limit names the field of [config.Account] that was exceeded.
	Limit string
	// RetryAfter is when a repeat may succeed.
	RetryAfter time.Duration
}

// Demand returns the mean rate of requests offered, in requests per second.
func (limits Limits) Demand(now time.Time) float64 {
	return limits.demand.with(0, now, demandWindow).mean
}

// Running returns the number of requests in progress.
func (limits Limits) Running() int { return limits.running }

// Shares returns the division of the limits between the entries.
func (limits Limits) Shares() Shares { return limits.shares }

// WithShares returns the limits with another division between the entries.
func (limits Limits) WithShares(shares Shares) Limits {
	limits.shares = shares
	return limits
}

// WithRequest returns the limits after a request that is expected to generate that many tokens.
//
// Concurrency is rounded up to a whole request, and rates allow at least one request
// at once, so that small limits still let each entry accept something.
func (limits Limits) WithRequest(account config.Account, tokens int, now time.Time) (Limits, Verdict) {
	limits.demand = limits.demand.with(0, now, demandWindow)
	limits.demand.mean += 1 / demandWindow.Seconds()
	part := limits.shares.Part()
	bound := int(math.Ceil(float64(account.Concurrency)*part - 1e-9))
	if account.Concurrency > 0 && limits.running >= bound {
		return limits, Verdict{Limit: "Concurrency", RetryAfter: concurrencyRetryAfter}
	}
	requests := limits.requests.at(account.RequestsPerSecond*part, now)
	generated := limits.tokens.at(account.TokensPerSecond*part, now)
	// A repeat has to wait for both.
	if wait := generated.wait(); wait > requests.wait() {
		return limits, Verdict{Limit: "TokensPerSecond", RetryAfter: wait}
	}
	if wait := requests.wait(); wait > 0 {
		return limits, Verdict{Limit: "RequestsPerSecond", RetryAfter: wait}
	}
	limits.requests, limits.tokens = requests.withDebt(1), generated.withDebt(float64(tokens))
	limits.running++
	return limits, Verdict{Accepted: true}
}

// WithEnd returns the limits after a request that generated tokens instead of the expected number.
func (limits Limits) WithEnd(expected, tokens int) Limits {
	limits.running--
	limits.tokens = limits.tokens.withDebt(float64(tokens - expected))
	return limits
}

// debtBucket accepts work while its debt is not above the burst; the debt shrinks at the rate.
type debtBucket struct {
	rate float64
	debt float64
	updatedAt  time.Time
}

// at returns the bucket at a time with a rate per second, 0 for no bound.
func (bucket debtBucket) at(rate float64, now time.Time) debtBucket {
	if !bucket.updatedAt.IsZero() {
		bucket.debt = max(0, bucket.debt-bucket.rate*max(0, now.Sub(bucket.updatedAt).Seconds()))
	}
	bucket.rate, bucket.updatedAt = rate, now
	if rate <= 0 {
		bucket.debt = 0
	}
	return bucket
}

func (bucket debtBucket) withDebt(amount float64) debtBucket {
	if bucket.rate > 0 {
		bucket.debt = max(0, bucket.debt+amount)
	}
	return bucket
}

// wait returns how long no more work is accepted.
func (bucket debtBucket) wait() time.Duration {
	// A debt that is not above the burst by a whole unit is accepted, so that a rate below 1 lets one request through.
	excess := bucket.debt - max(0, burstSeconds*bucket.rate-1)
	if bucket.rate <= 0 || excess <= 0 {
		return 0
	}
	return max(time.Millisecond, seconds(excess/bucket.rate))
}
