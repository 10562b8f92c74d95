package account_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/account"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
)

// group returns the shares of entries that hear from their peers as hears says, after some rounds.
func group(demands []float64, rounds int, hears func(entry, peer, round int) bool) []account.LimitShares {
	shares := make([]account.LimitShares, len(demands))
	for entry := range demands {
		shares[entry] = account.NewShares(fmt.Sprint(entry), len(demands))
	}
	for round := range rounds {
		for entry := range shares {
			for peer, demand := range demands {
				if peer == entry || hears(entry, peer, round) {
					shares[entry] = shares[entry].WithReport(fmt.Sprint(peer), demand)
				}
			}
			shares[entry] = shares[entry].WithRound()
		}
	}
	return shares
}

// Guards against parts that exceed the limit, ignore demand, or leave a lone entry without its fair part.
func TestPartsFollowDemandWithinTheLimit(t *testing.T) {
	all := func(_, _, _ int) bool { return true }
	none := func(_, _, _ int) bool { return false }
	for _, test := range []struct {
		name    string
		demands []float64
		hears   func(entry, peer, round int) bool
		parts   []float64
	}{
		{name: "by demand", demands: []float64{9, 3, 0, 0}, hears: all, parts: []float64{0.7, 0.25, 0.025, 0.025}},
		{name: "no demand", demands: []float64{0, 0, 0, 0}, hears: all, parts: []float64{0.25, 0.25, 0.25, 0.25}},
		{name: "no peer heard", demands: []float64{9, 3, 0, 0}, hears: none, parts: []float64{0.25, 0.25, 0.25, 0.25}},
		{
			name: "two halves", demands: []float64{1, 0, 3, 1},
			hears: func(entry, peer, _ int) bool { return entry/2 == peer/2 }, parts: []float64{0.475, 0.025, 0.3625, 0.1375},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			sum := 0.0
			for entry, shares := range group(test.demands, 40, test.hears) {
				assert.InDelta(t, test.parts[entry], shares.Fraction(), 1e-9, "entry %d", entry)
				sum += shares.Fraction()
			}
			assert.InDelta(t, 1, sum, 1e-9)
		})
	}
}

// Guards against a sum beyond the stated slack while half of the entries know the
// newest reports and the other half those of the round before.
func TestPartsOfUnequalViewsStayWithinTheSlack(t *testing.T) {
	const entries, rounds = 8, 200
	demand := func(peer, round int) float64 { return float64((peer*7919 + round/5*104729) % 13) }
	shares := make([]account.LimitShares, entries)
	for entry := range shares {
		shares[entry] = account.NewShares(fmt.Sprint(entry), entries)
	}
	for round := range rounds {
		sum := 0.0
		for entry := range shares {
			for peer := range entries {
				shares[entry] = shares[entry].WithReport(fmt.Sprint(peer), demand(peer, round-entry%2))
			}
			shares[entry] = shares[entry].WithRound()
			sum += shares[entry].Fraction()
		}
		assert.LessOrEqual(t, sum, 1+account.ShareGrowth+1e-9, "round %d", round)
	}
}

// Guards against entries that together accept more than an account's limits, and
// against refusals whose repeat is refused again although nothing else came.
func TestEntriesTogetherKeepAnAccountsLimits(t *testing.T) {
	const entries, span = 4, 60
	limit := config.Account{Name: "desk", RequestsPerSecond: 20, TokensPerSecond: 600, Concurrency: 12}
	for _, test := range []struct {
		name   string
		hears  bool
		tokens int
		hold   bool
		bound  int
	}{
		{name: "requests, reports", hears: true, tokens: 1, bound: 20 * (span + 1)},
		{name: "requests, no reports", tokens: 1, bound: 20 * (span + 1)},
		// Each entry may accept one answer beyond its rate, which it pays for afterwards.
		{name: "tokens, reports", hears: true, tokens: 60, bound: 10*(span+1) + entries},
		{name: "concurrency, reports", hears: true, tokens: 1, hold: true, bound: 12 + entries},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted := 0
			for entry, shares := range group([]float64{6, 2, 0, 0}, 40, func(_, _, _ int) bool { return test.hears }) {
				limits := account.Limiter{}.WithShares(shares)
				for step := range span * 100 {
					now := start.Add(time.Duration(step) * 10 * time.Millisecond)
					next, verdict := limits.WithRequest(limit, test.tokens, now)
					if verdict.Accepted {
						accepted++
						if !test.hold {
							next = next.WithEnd(test.tokens, test.tokens)
						}
					} else if verdict.Limit != "Concurrency" {
						_, again := next.WithRequest(limit, test.tokens, now.Add(verdict.RetryAfter+time.Microsecond))
						assert.True(t, again.Accepted, "entry %d refused a repeat after %v", entry, verdict.RetryAfter)
					}
					limits = next
				}
			}
			t.Logf("accepted %d of at most %d", accepted, test.bound)
			assert.LessOrEqual(t, accepted, test.bound)
			assert.GreaterOrEqual(t, accepted, test.bound*8/10)
		})
	}
}
