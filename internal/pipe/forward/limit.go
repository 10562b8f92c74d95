package forward

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/neighbour"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepLimit names the limits in decisions.
const StepLimit = "limit"

// minRetryAfter is when a call beyond a limit may come again at the earliest.
const minRetryAfter = 100 * time.Millisecond

// Clock gives the time since boot.
type Clock interface {
	Now() time.Duration
}

// Limits keeps the client accounts within the limits that hold over all entries.
type Limits struct {
	clock   Clock
	buckets rcu.Cells[string, quota.Bucket]
	// startedAt is when the entry started, and heard when it first heard of others, 0 for not yet.
	startedAt      time.Duration
	firstContactAt atomic.Int64
	// ratesKnown tells that the entry knows how fast the others use the limits.
	ratesKnown atomic.Bool
}

const (
	// soloCautionTime is how long an entry that hears of no other one is careful with the limits.
	soloCautionTime = 3 * time.Second
	// rateLearningTime is how long it takes from first hearing of others until their rates are known.
	rateLearningTime = 1200 * time.Millisecond
)

// NewLimits returns limits with nothing used.
func NewLimits(clock Clock) *Limits {
	return &Limits{clock: clock, buckets: rcu.NewCells[string, quota.Bucket](), startedAt: clock.Now()}
}

// Limit refuses calls beyond the limit of their client account.
func (limits *Limits) Limit() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			limit := exchange.Client.Limit
			if limit.Unlimited() {
				return next.Handle(ctx, exchange)
			}
			size := 1.0
			if limit.Tokens {
				size = float64(exchange.Request.Opaque.Prompt.Tokens(limit.PlainTokens))
			}
			now := limits.clock.Now()
			cell := limits.cell(exchange.Client.Name, limit, now)
			bucket, within := rcu.Apply(cell, func(bucket quota.Bucket) (quota.Bucket, bool) {
				return bucket.WithLimit(limit.PerSecond, limit.Burst, now).WithRequest(size, now)
			})
			exchange = exchange.WithDecision(request.Decision{
				At: time.Now(), Step: StepLimit, Reason: string(verdictOf(within)), Detail: fmt.Sprintf("size %.0f level %.0f", size, bucket.Level()),
			})
			if !within {
				wait := max(minRetryAfter, bucket.Wait(now))
				return exchange, call.Refuse(call.ReasonOverLimit, "account %s is over its limit of %.0f a second", exchange.Client.Name, limit.PerSecond).WithRetryAfter(wait)
			}
			after, err := next.Handle(ctx, exchange)
			var refusal *call.Refusal
			if errors.As(err, &refusal) {
				cell.Update(func(bucket quota.Bucket) quota.Bucket { return bucket.WithReturn(size) })
			}
			return after, err
		})
	}
}

// Verdict says whether a call is within the limit of its client account.
type Verdict string

// The verdicts of the limits.
const (
	VerdictWithin Verdict = "Within"
	VerdictBeyond Verdict = "Beyond"
)

func verdictOf(within bool) Verdict {
	if within {
		return VerdictWithin
	}
	return VerdictBeyond
}

// Admitted returns what this entry admitted by client account since its start.
func (limits *Limits) Admitted() map[string]float64 {
	admitted := map[string]float64{}
	for name, cell := range limits.buckets.All() {
		admitted[name] = cell.Load().Own()
	}
	return admitted
}

// Take joins what other entries state that they admitted, of that many live ones; those whose sums are not among the groups have ended.
func (limits *Limits) Take(others []neighbour.Group, entries int, accounts []route.Account) {
	now := limits.clock.Now()
	limits.updateRatesKnown(len(others) > 0, now)
	alive := make(map[string]bool, len(others))
	for _, group := range others {
		alive[group.ID] = true
	}
	for _, account := range accounts {
		if account.Limit.Unlimited() {
			continue
		}
		limits.cell(account.Name, account.Limit, now).Update(func(bucket quota.Bucket) quota.Bucket {
			if limits.ratesKnown.Load() {
				bucket = bucket.Joined(now)
			}
			bucket = bucket.WithEntries(entries).WithOnly(alive)
			for _, group := range others {
				bucket = bucket.WithReport(group.ID, group.Admitted[account.Name], now-group.Age)
			}
			return bucket
		})
	}
}

// updateRatesKnown notes whether others are heard of.
func (limits *Limits) updateRatesKnown(others bool, now time.Duration) {
	if others {
		limits.firstContactAt.CompareAndSwap(0, int64(now))
	}
	heard := time.Duration(limits.firstContactAt.Load())
	if heard > 0 && now-heard >= rateLearningTime || now-limits.startedAt > soloCautionTime {
		limits.ratesKnown.Store(true)
	}
}

func (limits *Limits) cell(name string, limit route.Limit, now time.Duration) *rcu.Cell[quota.Bucket] {
	bucket := quota.New(limit.PerSecond, limit.Burst, now)
	if !limits.ratesKnown.Load() {
		bucket = bucket.Alone()
	}
	return limits.buckets.Of(name, bucket)
}
