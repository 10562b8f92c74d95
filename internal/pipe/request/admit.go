package request

import (
	"context"
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepAdmit is the step of [Admission.Admit] in decisions and errors.
const StepAdmit = "admit"

// Admission enforces the limits of the client accounts at this entry.
//
// The component that exchanges messages with the peers calls [Admission.Rebalance] at a
// fixed interval, sends the result to the peers, and passes the demand that they report to
// [Admission.RecordPeerDemand]. Without these calls, the entry admits the limit divided
// by the number of entries.
type Admission struct {
	self       string
	partitions PartitionSource
	limiters   *rcu.Cell[map[string]*rcu.Cell[account.Limiter]]
}

// NewAdmission returns the admission of the entry named self, without any recorded usage.
func NewAdmission(self string, partitions PartitionSource) *Admission {
	return &Admission{self: self, partitions: partitions, limiters: rcu.New(map[string]*rcu.Cell[account.Limiter]{})}
}

// Admit refuses requests beyond the limits of their client account with
// [call.ReasonOverLimit] and the time after which a retry may be admitted.
func (admission *Admission) Admit() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			now := time.Now()
			expectedTokens := exchange.Request.Estimate.Tokens
			cell := admission.cell(exchange.Account.Name)
			_, decision := rcu.Apply(cell, func(limiter account.Limiter) (account.Limiter, account.Decision) {
				return limiter.WithRequest(exchange.Account, expectedTokens, now)
			})
			if !decision.Accepted {
				exchange = exchange.WithDecision(Decision{At: now, Step: StepAdmit, Reason: string(call.ReasonOverLimit), Detail: decision.Limit})
				return exchange, call.Refuse(call.ReasonOverLimit, "client account %s exceeds its limit %s", exchange.Account.Name, decision.Limit).WithRetryAfter(decision.RetryAfter)
			}
			meter := &meter{}
			if exchange.Sink != nil {
				exchange = exchange.WithSink(meter.sink(exchange.Sink, 0, func() {}))
			}
			exchange, err := next.Handle(ctx, exchange)
			tokens := int(meter.tokens.Load())
			cell.Update(func(limiter account.Limiter) account.Limiter { return limiter.WithEnd(expectedTokens, tokens) })
			return exchange, err
		})
	}
}

// Rebalance adapts this entry's share of each limit to the demand at all entries, and
// returns its own demand by client account in requests per second, for its peers.
func (admission *Admission) Rebalance() map[string]float64 {
	now := time.Now()
	entries := admission.partitions.Partition().Entries
	demands := map[string]float64{}
	for name, cell := range admission.limiters.Load() {
		next := cell.Update(func(limiter account.Limiter) account.Limiter {
			shares := limiter.Shares().WithEntries(entries).WithReport(admission.self, limiter.Demand(now)).WithRound()
			return limiter.WithShares(shares)
		})
		demands[name] = next.Demand(now)
	}
	return demands
}

// RecordPeerDemand records the demand that a peer reported, by client account in
// requests per second.
func (admission *Admission) RecordPeerDemand(peer string, demands map[string]float64) {
	for name, demand := range demands {
		admission.cell(name).Update(func(limiter account.Limiter) account.Limiter {
			return limiter.WithShares(limiter.Shares().WithReport(peer, demand))
		})
	}
}

// RemovePeer drops the demand reported by a peer that has not reported for too long.
func (admission *Admission) RemovePeer(peer string) {
	for _, cell := range admission.limiters.Load() {
		cell.Update(func(limiter account.Limiter) account.Limiter {
			return limiter.WithShares(limiter.Shares().WithoutReport(peer))
		})
	}
}

// cell returns the limiter of a client account, after creating it for a new one.
func (admission *Admission) cell(name string) *rcu.Cell[account.Limiter] {
	if cell, ok := admission.limiters.Load()[name]; ok {
		return cell
	}
	return admission.limiters.Update(func(current map[string]*rcu.Cell[account.Limiter]) map[string]*rcu.Cell[account.Limiter] {
		if _, ok := current[name]; ok {
			return current
		}
		next := maps.Clone(current)
		shares := account.NewLimitShares(admission.self, admission.partitions.Partition().Entries)
		next[name] = rcu.New(account.Limiter{}.WithShares(shares))
		return next
	})[name]
}
