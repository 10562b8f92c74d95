package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/quota"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// StepLimit is the step of [Limits.Filter] in decisions.
const StepLimit = "limit"

const (
	// minRetryAfter is the shortest time after which a caller beyond its limit is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	// tooLargeRetryAfter is that time for a request larger than a window of the limit. Only another limit would admit it.
	tooLargeRetryAfter = time.Minute
)

// Clock is the boot clock of the VM.
type Clock interface {
	// Now returns the time since the VM booted.
	Now() time.Duration
}

// Limits enforces the limits of the client accounts, which apply to all entries together.
type Limits struct {
	clock   Clock
	buckets rcu.Cells[string, quota.Bucket]
	// window is the rule by which the limits are judged.
	window *rcu.Cell[quota.Window]
	// startedAt is when the entry started. firstContactAt is when it first received the
	// state of another entry, in nanoseconds since the VM booted, and 0 before that.
	startedAt      time.Duration
	firstContactAt atomic.Int64
	// ratesKnown reports whether the entry has measured how fast the other entries use
	// the limits, or has waited for soloCautionTime without contact to any of them.
	ratesKnown atomic.Bool
	// entries is the number of entries that may have started together with this one.
	entries atomic.Int32
	// recordedEntries is the number of entries that the store had at the start, 0 if it is not known.
	recordedEntries atomic.Int32
}

const (
	// soloCautionTime is how long an entry that receives the state of no other entry admits
	// less than the limits allow.
	soloCautionTime = 3 * time.Second
	// fewEntriesDelay and manyEntriesDelay are two and three intervals between exchanges, see package share.
	fewEntriesDelay  = 500 * time.Millisecond
	manyEntriesDelay = 1500 * time.Millisecond
	// unknownEntries is the number of entries that is assumed until entryCountTime after the first contact with
	// another one, since an entry learns of the others one after the other, if the store has no number.
	unknownEntries = 100
	entryCountTime = 500 * time.Millisecond
	// aloneTime is the time without contact after which an entry counts only itself.
	aloneTime = time.Second
	// rateLearningTime is the time from the first contact with another entry until the
	// rates at which the other entries use the limits are known.
	rateLearningTime = 1200 * time.Millisecond
)

// NewLimits returns limits without any recorded usage.
func NewLimits(clock Clock) *Limits {
	limits := &Limits{clock: clock, buckets: rcu.NewCells[string, quota.Bucket](), window: rcu.New(quota.Window{}), startedAt: clock.Now()}
	limits.entries.Store(unknownEntries)
	return limits
}

// SetWindow sets the rule by which the limits are judged. It has to be called before the first call arrives.
func (limits *Limits) SetWindow(window quota.Window) { limits.window.Store(window) }

// SetRecordedEntries sets the number of entries that the store had at the start of this one.
func (limits *Limits) SetRecordedEntries(entries int) {
	limits.recordedEntries.Store(int32(entries))
	limits.entries.Store(int32(entries))
}

// assumedEntries returns the number of entries to assume until they are counted.
func (limits *Limits) assumedEntries() int {
	if recorded := int(limits.recordedEntries.Load()); recorded > 0 {
		return recorded
	}
	return unknownEntries
}

// Filter returns a filter that refuses calls beyond the limit of their client account with
// [call.ReasonOverLimit]. A call that is refused later in the chain did not run and does
// not count against the limit.
func (limits *Limits) Filter() request.Filter {
	return func(next request.Handler) request.Handler {
		return request.HandlerFunc(func(ctx context.Context, exchange request.Exchange) (request.Exchange, error) {
			limit := exchange.ClientAccount.Limit
			if limit.Unlimited() {
				return next.Handle(ctx, exchange)
			}
			size := requestSize(exchange)
			now := limits.clock.Now()
			draw := rand.Float64()
			cell := limits.bucketCell(exchange.ClientAccount.Name, limit, now)
			bucket, within := rcu.Apply(cell, func(bucket quota.Bucket) (quota.Bucket, bool) {
				return withRequest(bucket, limit, size, draw, now)
			})
			exchange = exchange.WithDecision(request.Decision{
				At: time.Now(), Step: StepLimit, Reason: string(limitVerdict(within)), Detail: limitDetail(bucket, within, size, now),
			})
			if !within {
				return exchange, refusalOfLimit(exchange, bucket, now)
			}
			handled, err := next.Handle(ctx, exchange)
			var refusal *call.Refusal
			if errors.As(err, &refusal) {
				cell.Update(func(bucket quota.Bucket) quota.Bucket { return bucket.WithRefund(size) })
			}
			return handled, err
		})
	}
}

// requestSize returns the size of a call in the unit of its account's limit.
func requestSize(exchange request.Exchange) float64 {
	if limit := exchange.ClientAccount.Limit; limit.CountsTokens {
		return float64(exchange.Request.Opaque.Prompt.Tokens(limit.DefaultTokens))
	}
	return 1
}

// withRequest returns the bucket after a request, and whether it is admitted.
func withRequest(bucket quota.Bucket, limit route.Limit, size, draw float64, now time.Duration) (quota.Bucket, bool) {
	return bucket.WithLimit(limit.PerSecond, limit.Burst, now).WithRequest(size, draw, now)
}

// refusalOfLimit returns the refusal of a call that the bucket of its account did not admit.
func refusalOfLimit(exchange request.Exchange, bucket quota.Bucket, now time.Duration) *call.Refusal {
	account := exchange.ClientAccount
	if size := requestSize(exchange); bucket.ExceedsWindow(size) {
		const detail = "the request counts %.0f, more than client account %s may use in a window of its limit"
		return call.Refuse(call.ReasonOverLimit, detail, size, account.Name).WithRetryAfter(tooLargeRetryAfter)
	}
	return call.Refuse(call.ReasonOverLimit, "client account %s exceeds its limit of %.0f per second", account.Name, account.Limit.PerSecond).
		WithRetryAfter(max(minRetryAfter, bucket.Wait(now)))
}

// check returns what [Limits.Filter] would decide on a call, without counting it.
func (limits *Limits) check(exchange request.Exchange, draw float64) (detail string, refusal *call.Refusal) {
	limit, now := exchange.ClientAccount.Limit, limits.clock.Now()
	if limit.Unlimited() {
		return "no limit", nil
	}
	bucket := limits.newBucket(limit, now)
	if cell := limits.buckets.All()[exchange.ClientAccount.Name]; cell != nil {
		bucket = cell.Load()
	}
	size := requestSize(exchange)
	bucket, within := withRequest(bucket, limit, size, draw, now)
	estimate := bucket.Estimate(now)
	detail = fmt.Sprintf("size %.0f, limit %.0f/s, asked %.0f/s, admitted fraction %.3f", size, bucket.Rate(), estimate.AskedRate, estimate.Fraction)
	if !within {
		refusal = refusalOfLimit(exchange, bucket, now)
	}
	return detail, refusal
}

// Verdict is the result of the check of a call against the limit of its client account.
type Verdict string

// The verdicts on a call, which appear as reasons of decisions.
const (
	VerdictWithin Verdict = "Within"
	VerdictBeyond Verdict = "Beyond"
)

func limitVerdict(within bool) Verdict {
	if within {
		return VerdictWithin
	}
	return VerdictBeyond
}

// limitDetail returns what a decision was based on. That of a refusal has what the entry knows of all entries, since old or missing
// reports of peers are the usual reason for a wrong one.
func limitDetail(bucket quota.Bucket, within bool, size float64, now time.Duration) string {
	detail := fmt.Sprintf("size %.0f level %.0f", size, bucket.Level())
	if within {
		return detail
	}
	estimate := bucket.Estimate(now)
	return fmt.Sprintf("%s, of all entries %.0f; limit %.0f/s, asked %.0f/s, admitted fraction %.3f, oldest report %.3fs",
		detail, estimate.Level, bucket.Rate(), estimate.AskedRate, estimate.Fraction, estimate.ReportAge.Seconds())
}

// Totals returns the requests or tokens that this entry has admitted, and those that it was
// asked for, since its start, by client account.
func (limits *Limits) Totals() (admitted, asked map[string]float64) {
	admitted, asked = map[string]float64{}, map[string]float64{}
	for name, cell := range limits.buckets.All() {
		bucket := cell.Load()
		admitted[name], asked[name] = bucket.Admitted(), bucket.Asked()
	}
	return admitted, asked
}

// MergePeers merges the admitted usage that other entries report into the buckets of the
// accounts; entries is the number of live entries. Peers that are missing from the list have
// ended and are not expected to admit more calls.
func (limits *Limits) MergePeers(peers []cluster.Aggregate, entries int, accounts []route.Account) {
	now := limits.clock.Now()
	limits.updateRatesKnown(len(peers) > 0, entries, now)
	livePeers := make(map[string]bool, len(peers))
	for _, aggregate := range peers {
		livePeers[aggregate.ID] = true
	}
	for _, account := range accounts {
		if account.Limit.Unlimited() {
			continue
		}
		limits.bucketCell(account.Name, account.Limit, now).Update(func(bucket quota.Bucket) quota.Bucket {
			bucket = bucket.WithUnsyncedEntries(int(limits.entries.Load()))
			if limits.ratesKnown.Load() {
				bucket = bucket.Synced(now)
			}
			bucket = bucket.WithDelay(reportDelay(entries)).WithLivePeers(livePeers, now)
			for _, aggregate := range peers {
				if !aggregate.HasSums() {
					continue
				}
				bucket = bucket.WithReport(aggregate.ID, quota.Report{
					Admitted: aggregate.Admitted[account.Name], Asked: aggregate.Asked[account.Name], At: now - aggregate.Age,
				})
			}
			return bucket
		})
	}
}

// reportDelay returns the time that the report of a call takes from one entry to another, through aggregators where there
// are many entries.
func reportDelay(entries int) time.Duration {
	if entries > fewEntries {
		return manyEntriesDelay
	}
	return fewEntriesDelay
}

// updateRatesKnown records the first contact with another entry and the number of entries, and sets ratesKnown once
// rateLearningTime has passed since then or soloCautionTime since the start.
func (limits *Limits) updateRatesKnown(hasPeers bool, entries int, now time.Duration) {
	if hasPeers {
		limits.firstContactAt.CompareAndSwap(0, int64(now))
	}
	firstContact := time.Duration(limits.firstContactAt.Load())
	counted := firstContact > 0 && now-firstContact >= entryCountTime
	if counted || firstContact == 0 && now-limits.startedAt >= aloneTime {
		limits.entries.Store(int32(entries))
	} else {
		limits.entries.Store(int32(max(limits.assumedEntries(), entries)))
	}
	if firstContact > 0 && now-firstContact >= rateLearningTime || now-limits.startedAt > soloCautionTime {
		limits.ratesKnown.Store(true)
	}
}

// bucketCell returns the cell with the bucket of a client account, which it creates for a new account.
func (limits *Limits) bucketCell(name string, limit route.Limit, now time.Duration) *rcu.Cell[quota.Bucket] {
	return limits.buckets.GetOrCreate(name, limits.newBucket(limit, now))
}

// newBucket returns the bucket of a new account.
func (limits *Limits) newBucket(limit route.Limit, now time.Duration) quota.Bucket {
	window := limits.window.Load()
	if !limit.CountsTokens {
		window.Slack = 0 // It is in tokens.
	}
	bucket := quota.New(limit.PerSecond, limit.Burst, now).WithWindow(window)
	if !limits.ratesKnown.Load() {
		bucket = bucket.Unsynced(int(limits.entries.Load()))
	}
	return bucket
}
