package request

import (
	"context"
	"maps"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// StepAdmit names the limits in decisions and errors.
const StepAdmit = "admit"

// Admission keeps the client accounts within their limits at this entry.
//
// Whoever knows the peers calls [Admission.Round] at a fixed interval, sends its
// result to the peers, and passes on what they send with [Admission.Report].
// Without that, each account keeps the entry's fair part of its limits.
type Admission struct {
	self    string
	entries ShareSource
	limits  *rcu.Cell[map[string]*rcu.Cell[account.Limiter]]
}

// NewAdmission returns the limits at the entry of that name, with nothing used.
func NewAdmission(self string, entries ShareSource) *Admission {
	return &Admission{self: self, entries: entries, limits: rcu.New(map[string]*rcu.Cell[account.Limiter]{})}
}

// Admit refuses requests beyond the limits of their client account.
func (admission *Admission) Admit() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			now := time.Now()
			expected := exchange.Request.Estimate.Tokens
			cell := admission.cell(exchange.Account.Name)
			_, verdict := rcu.Apply(cell, func(limits account.Limiter) (account.Limiter, account.Decision) {
				return limits.WithRequest(exchange.Account, expected, now)
			})
			if !verdict.Accepted {
				exchange = exchange.WithDecision(Decision{At: now, Step: StepAdmit, Reason: string(call.ReasonOverLimit), Detail: verdict.Limit})
				return exchange, call.Refuse(call.ReasonOverLimit, "account %s is over its %s", exchange.Account.Name, verdict.Limit).WithRetryAfter(verdict.RetryAfter)
			}
			meter := &meter{}
			if exchange.Sink != nil {
				exchange = exchange.WithSink(meter.sink(exchange.Sink, 0, func() {}))
			}
			exchange, err := next.Handle(ctx, exchange)
			tokens := int(meter.tokens.Load())
			cell.Update(func(limits account.Limiter) account.Limiter { return limits.WithEnd(expected, tokens) })
			return exchange, err
		})
	}
}

// Rebalance adapts this entry's part of each limit to the reports, and returns its demand
// by client account in requests per second, which is what it reports to its peers.
func (admission *Admission) Rebalance() map[string]float64 {
	now := time.Now()
	entries := admission.entries.Share().Entries
	demands := map[string]float64{}
	for name, cell := range admission.limits.Load() {
		next := cell.Update(func(limits account.Limiter) account.Limiter {
			shares := limits.Shares().WithEntries(entries).WithReport(admission.self, limits.Demand(now)).WithRound()
			return limits.WithShares(shares)
		})
		demands[name] = next.Demand(now)
	}
	return demands
}

// RecordPeerDemand takes the demand by client account that a peer reported.
func (admission *Admission) RecordPeerDemand(peer string, demands map[string]float64) {
	for name, demand := range demands {
		admission.cell(name).Update(func(limits account.Limiter) account.Limiter {
			return limits.WithShares(limits.Shares().WithReport(peer, demand))
		})
	}
}

// RemovePeer drops the reports of a peer that was not heard for too long.
func (admission *Admission) RemovePeer(peer string) {
	for _, cell := range admission.limits.Load() {
		cell.Update(func(limits account.Limiter) account.Limiter {
			return limits.WithShares(limits.Shares().WithoutReport(peer))
		})
	}
}

func (admission *Admission) cell(name string) *rcu.Cell[account.Limiter] {
	if cell, ok := admission.limits.Load()[name]; ok {
		return cell
	}
	return admission.limits.Update(func(current map[string]*rcu.Cell[account.Limiter]) map[string]*rcu.Cell[account.Limiter] {
		if _, ok := current[name]; ok {
			return current
		}
		next := maps.Clone(current)
		shares := account.NewShares(admission.self, admission.entries.Share().Entries)
		next[name] = rcu.New(account.Limiter{}.WithShares(shares))
		return next
	})[name]
}
