package account

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// burst is how much of a rate may be used at once, in seconds of that rate; callers
// send in small batches, and a batch within one second's rate is within the limit.
const burst = 1.0

// concurrencyRetry is when to retry after too many requests in progress; the end of
// one is not known, so this is about the length of short work.
const concurrencyRetry = 500 * time.Millisecond

// demandWindow is the time over which the demand that peers are told is averaged.
const demandWindow = 5 * time.Second

// Limiter is the use of one client account's limits at one entry.
type Limiter struct {
	shares   LimitShares
	running  int
	requests bucket
	tokens   bucket
	// demand is the mean rate of requests offered, accepted or not.
	demand average
}

// Decision says whether a request is within the limits.
type Decision struct {
	Accepted bool
	// Limit names the field of [config.Account] that was exceeded.
	Limit string
	// RetryAfter is when a repeat may succeed.
	RetryAfter time.Duration
}

// Demand returns the mean rate of requests offered, in requests per second.
func (limiter Limiter) Demand(now time.Time) float64 {
	return limiter.demand.with(0, now, demandWindow).mean
}

// Running returns the number of requests in progress.
func (limiter Limiter) Running() int { return limiter.running }

// Shares returns the division of the limits between the entries.
func (limiter Limiter) Shares() LimitShares { return limiter.shares }

// WithShares returns the limits with another division between the entries.
func (limiter Limiter) WithShares(shares LimitShares) Limiter {
	limiter.shares = shares
	return limiter
}

// WithRequest returns the limits after a request that is expected to generate that many tokens.
//
// Concurrency is rounded up to a whole request, and rates allow at least one request
// at once, so that small limits still let each entry accept something.
func (limiter Limiter) WithRequest(account config.Account, tokens int, now time.Time) (Limiter, Decision) {
	limiter.demand = limiter.demand.with(0, now, demandWindow)
	limiter.demand.mean += 1 / demandWindow.Seconds()
	part := limiter.shares.Fraction()
	bound := int(math.Ceil(float64(account.Concurrency)*part - 1e-9))
	if account.Concurrency > 0 && limiter.running >= bound {
		return limiter, Decision{Limit: "Concurrency", RetryAfter: concurrencyRetry}
	}
	requests := limiter.requests.at(account.RequestsPerSecond*part, now)
	generated := limiter.tokens.at(account.TokensPerSecond*part, now)
	// A repeat has to wait for both.
	if wait := generated.wait(); wait > requests.wait() {
		return limiter, Decision{Limit: "TokensPerSecond", RetryAfter: wait}
	}
	if wait := requests.wait(); wait > 0 {
		return limiter, Decision{Limit: "RequestsPerSecond", RetryAfter: wait}
	}
	limiter.requests, limiter.tokens = requests.with(1), generated.with(float64(tokens))
	limiter.running++
	return limiter, Decision{Accepted: true}
}

// WithEnd returns the limits after a request that generated tokens instead of the expected number.
func (limiter Limiter) WithEnd(expected, tokens int) Limiter {
	limiter.running--
	limiter.tokens = limiter.tokens.with(float64(tokens - expected))
	return limiter
}

// bucket accepts work while its debt is not above the burst; the debt shrinks at the rate.
type bucket struct {
	rate float64
	debt float64
	now  time.Time
}

// at returns the bucket at a time with a rate per second, 0 for no bound.
func (bucket bucket) at(rate float64, now time.Time) bucket {
	if !bucket.now.IsZero() {
		bucket.debt = max(0, bucket.debt-bucket.rate*max(0, now.Sub(bucket.now).Seconds()))
	}
	bucket.rate, bucket.now = rate, now
	if rate <= 0 {
		bucket.debt = 0
	}
	return bucket
}

func (bucket bucket) with(amount float64) bucket {
	if bucket.rate > 0 {
		bucket.debt = max(0, bucket.debt+amount)
	}
	return bucket
}

// wait returns how long no more work is accepted.
func (bucket bucket) wait() time.Duration {
	// A debt that is not above the burst by a whole unit is accepted, so that a rate below 1 lets one request through.
	excess := bucket.debt - max(0, burst*bucket.rate-1)
	if bucket.rate <= 0 || excess <= 0 {
		return 0
	}
	return max(time.Millisecond, seconds(excess/bucket.rate))
}
