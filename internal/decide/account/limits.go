package account

import (
	"math"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// burstSeconds is the part of a rate that may be used at once, in seconds of that rate.
// Callers send in small batches, and a batch of at most one second's rate is accepted.
const burstSeconds = 1.0

// concurrencyRetryAfter is the retry time reported when too many requests are in
// progress. It is about the run time of short work, since the time at which a request
// will end is unknown.
const concurrencyRetryAfter = 500 * time.Millisecond

// demandWindow is the time over which the demand that is reported to peers is averaged.
const demandWindow = 5 * time.Second

// Limiter enforces one client account's limits at one entry.
type Limiter struct {
	shares   LimitShares
	running  int
	requests debtBucket
	tokens   debtBucket
	// demand is the mean rate of requests received, accepted or not.
	demand average
}

// Decision reports whether a request is within the limits, and if not, which limit it exceeds.
type Decision struct {
	Accepted bool
	// Limit names the field of [config.Account] that was exceeded, empty if accepted.
	Limit string
	// RetryAfter is the time after which a retry may be accepted, 0 if accepted.
	RetryAfter time.Duration
}

// Demand returns the mean rate of requests received, accepted or not, in requests per second.
func (limiter Limiter) Demand(now time.Time) float64 {
	return limiter.demand.with(0, now, demandWindow).mean
}

// Running returns the number of requests in progress.
func (limiter Limiter) Running() int { return limiter.running }

// Shares returns the division of the limits between the entries.
func (limiter Limiter) Shares() LimitShares { return limiter.shares }

// WithShares returns the limiter with another division of the limits between the entries.
func (limiter Limiter) WithShares(shares LimitShares) Limiter {
	limiter.shares = shares
	return limiter
}

// WithRequest returns the limiter after a request that is expected to generate the given
// number of tokens, and the decision on it.
//
// The entry's fraction of the concurrency limit is rounded up to a whole request, and
// rates allow at least one request at once, so that each entry can accept requests
// even when a limit is small.
func (limiter Limiter) WithRequest(account config.Account, tokens int, now time.Time) (Limiter, Decision) {
	limiter.demand = limiter.demand.with(0, now, demandWindow)
	limiter.demand.mean += 1 / demandWindow.Seconds()
	fraction := limiter.shares.Fraction()
	// Without the 1e-9, Ceil would round floating-point error up to another request.
	bound := int(math.Ceil(float64(account.Concurrency)*fraction - 1e-9))
	if account.Concurrency > 0 && limiter.running >= bound {
		return limiter, Decision{Limit: "Concurrency", RetryAfter: concurrencyRetryAfter}
	}
	requestBucket := limiter.requests.withRate(account.RequestsPerSecond*fraction, now)
	tokenBucket := limiter.tokens.withRate(account.TokensPerSecond*fraction, now)
	// A retry has to wait until both limits admit it.
	if wait := tokenBucket.wait(); wait > requestBucket.wait() {
		return limiter, Decision{Limit: "TokensPerSecond", RetryAfter: wait}
	}
	if wait := requestBucket.wait(); wait > 0 {
		return limiter, Decision{Limit: "RequestsPerSecond", RetryAfter: wait}
	}
	limiter.requests, limiter.tokens = requestBucket.withDebt(1), tokenBucket.withDebt(float64(tokens))
	limiter.running++
	return limiter, Decision{Accepted: true}
}

// WithEnd returns the limiter after a request ended that was expected to generate one
// number of tokens and generated another.
func (limiter Limiter) WithEnd(expected, tokens int) Limiter {
	limiter.running--
	limiter.tokens = limiter.tokens.withDebt(float64(tokens - expected))
	return limiter
}

// debtBucket accepts work while its debt does not exceed the burst; the debt shrinks at the rate.
type debtBucket struct {
	rate      float64 // per second, 0 for no limit
	debt      float64
	updatedAt time.Time
}

// withRate returns the bucket updated to now and with the given rate per second, 0 for no limit.
func (debtBucket debtBucket) withRate(rate float64, now time.Time) debtBucket {
	if !debtBucket.updatedAt.IsZero() {
		debtBucket.debt = max(0, debtBucket.debt-debtBucket.rate*max(0, now.Sub(debtBucket.updatedAt).Seconds()))
	}
	debtBucket.rate, debtBucket.updatedAt = rate, now
	if rate <= 0 {
		debtBucket.debt = 0
	}
	return debtBucket
}

func (debtBucket debtBucket) withDebt(amount float64) debtBucket {
	if debtBucket.rate > 0 {
		debtBucket.debt = max(0, debtBucket.debt+amount)
	}
	return debtBucket
}

// wait returns the time until work is accepted again, 0 if it is accepted now.
func (debtBucket debtBucket) wait() time.Duration {
	// The debt may exceed the burst by less than one unit, so that a rate below 1 still admits a request.
	excess := debtBucket.debt - max(0, burstSeconds*debtBucket.rate-1)
	if debtBucket.rate <= 0 || excess <= 0 {
		return 0
	}
	return max(time.Millisecond, secondsToDuration(excess/debtBucket.rate))
}
