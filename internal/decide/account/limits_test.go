package account_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// limitSharesOf returns the shares of each entry after the given number of rounds, in which
// an entry receives the reports of those peers for which receives returns true.
func limitSharesOf(demands []float64, rounds int, receives func(entry, peer, round int) bool) []account.LimitShares {
	limitShares := make([]account.LimitShares, len(demands))
	for entry := range demands {
		limitShares[entry] = account.NewLimitShares(fmt.Sprint(entry), len(demands))
	}
	for round := range rounds {
		for entry := range limitShares {
			for peer, demand := range demands {
				if peer == entry || receives(entry, peer, round) {
					limitShares[entry] = limitShares[entry].WithReport(fmt.Sprint(peer), demand)
				}
			}
			limitShares[entry] = limitShares[entry].WithRound()
		}
	}
	return limitShares
}

// Guards against fractions that add up to more than the limit, ignore demand, or leave an
// entry without reports from peers less than its even fraction.
func TestFractionsFollowDemandWithinTheLimit(t *testing.T) {
	all := func(_, _, _ int) bool { return true }
	none := func(_, _, _ int) bool { return false }
	for _, test := range []struct {
		name      string
		demands   []float64
		receives  func(entry, peer, round int) bool
		fractions []float64
	}{
		{name: "by demand", demands: []float64{9, 3, 0, 0}, receives: all, fractions: []float64{0.7, 0.25, 0.025, 0.025}},
		{name: "no demand", demands: []float64{0, 0, 0, 0}, receives: all, fractions: []float64{0.25, 0.25, 0.25, 0.25}},
		{name: "no reports from peers", demands: []float64{9, 3, 0, 0}, receives: none, fractions: []float64{0.25, 0.25, 0.25, 0.25}},
		{
			name: "reports only within each half of the entries", demands: []float64{1, 0, 3, 1},
			receives: func(entry, peer, _ int) bool { return entry/2 == peer/2 }, fractions: []float64{0.475, 0.025, 0.3625, 0.1375},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum := 0.0
			for entry, limitShares := range limitSharesOf(test.demands, 40, test.receives) {
				assert.InDelta(t, test.fractions[entry], limitShares.Fraction(), 1e-9, "entry %d", entry)
				sum += limitShares.Fraction()
			}
			assert.InDelta(t, 1, sum, 1e-9)
		})
	}
}

// Guards against fractions that add up to more than 1 + ShareGrowth while half of the
// entries have the latest reports and the other half those of the round before.
func TestFractionsStayWithinTheBoundWhenReportsDiffer(t *testing.T) {
	const entries, rounds = 8, 200
	demand := func(peer, round int) float64 { return float64((peer*7919 + round/5*104729) % 13) }
	limitShares := make([]account.LimitShares, entries)
	for entry := range limitShares {
		limitShares[entry] = account.NewLimitShares(fmt.Sprint(entry), entries)
	}
	for round := range rounds {
		sum := 0.0
		for entry := range limitShares {
			for peer := range entries {
				limitShares[entry] = limitShares[entry].WithReport(fmt.Sprint(peer), demand(peer, round-entry%2))
			}
			limitShares[entry] = limitShares[entry].WithRound()
			sum += limitShares[entry].Fraction()
		}
		assert.LessOrEqual(t, sum, 1+account.ShareGrowth+1e-9, "round %d", round)
	}
}

// Guards against entries that together accept more than an account's limits, and against
// a RetryAfter that is too short: a retry after that time must be accepted if the entry has
// received no other request since.
func TestEntriesTogetherKeepAnAccountsLimits(t *testing.T) {
	const entries, spanSeconds = 4, 60
	limit := config.Account{Name: "desk", RequestsPerSecond: 20, TokensPerSecond: 600, Concurrency: 12}
	for _, test := range []struct {
		name        string
		receives    bool
		tokens      int
		keepRunning bool
		bound       int
	}{
		{name: "requests, reports", receives: true, tokens: 1, bound: 20 * (spanSeconds + 1)},
		{name: "requests, no reports", tokens: 1, bound: 20 * (spanSeconds + 1)},
		// Each entry may accept one answer beyond its rate and accepts less afterwards.
		{name: "tokens, reports", receives: true, tokens: 60, bound: 10*(spanSeconds+1) + entries},
		{name: "concurrency, reports", receives: true, tokens: 1, keepRunning: true, bound: 12 + entries},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted := 0
			for entry, limitShares := range limitSharesOf([]float64{6, 2, 0, 0}, 40, func(_, _, _ int) bool { return test.receives }) {
				limiter := account.Limiter{}.WithShares(limitShares)
				for step := range spanSeconds * 100 {
					now := start.Add(time.Duration(step) * 10 * time.Millisecond)
					next, decision := limiter.WithRequest(limit, test.tokens, now)
					if decision.Accepted {
						accepted++
						if !test.keepRunning {
							next = next.WithEnd(test.tokens, test.tokens)
						}
					} else if decision.Limit != "Concurrency" {
						_, retry := next.WithRequest(limit, test.tokens, now.Add(decision.RetryAfter+time.Microsecond))
						assert.True(t, retry.Accepted, "entry %d refused a retry after %v", entry, decision.RetryAfter)
					}
					limiter = next
				}
			}
			t.Logf("accepted %d of at most %d", accepted, test.bound)
			assert.LessOrEqual(t, accepted, test.bound)
			assert.GreaterOrEqual(t, accepted, test.bound*8/10)
		})
	}
}
