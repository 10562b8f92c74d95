package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against repeating requests that may have run, and against retries that
// cannot succeed or come after the deadline.
func TestWithFailurePlans(t *testing.T) {
	attempt := func(change func(*retry.FailedAttempt)) retry.FailedAttempt {
		attempt := retry.FailedAttempt{
			Repeat: config.RepeatIdempotent, Failure: call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset},
			Deadline: start.Add(time.Minute), Tries: 1, Candidates: 3, Untried: 2,
		}
		change(&attempt)
		return attempt
	}
	cases := []struct {
		name   string
		change func(*retry.FailedAttempt)
		plan   retry.Plan
	}{
		{"idempotent", func(*retry.FailedAttempt) {}, retry.Plan{Action: retry.ActionRetry, Reason: retry.ReasonRepeatable}},
		{"repeatable by key", func(attempt *retry.FailedAttempt) { attempt.Repeat = config.RepeatByKey }, retry.Plan{Action: retry.ActionRetry, Reason: retry.ReasonRepeatable}},
		{"never repeatable, may have run", func(attempt *retry.FailedAttempt) { attempt.Repeat = config.RepeatNever }, retry.Plan{Action: retry.ActionAbandon, Reason: retry.ReasonNotRepeatable}},
		{"never repeatable, has run", func(attempt *retry.FailedAttempt) {
			attempt.Repeat, attempt.Failure.Ran = config.RepeatNever, call.RanYes
		}, retry.Plan{Action: retry.ActionAbandon, Reason: retry.ReasonNotRepeatable}},
		{"never repeatable, not run", func(attempt *retry.FailedAttempt) {
			attempt.Repeat, attempt.Failure.Ran = config.RepeatNever, call.RanNo
		}, retry.Plan{Action: retry.ActionRetry, Reason: retry.ReasonRepeatable}},
		{"cancelled by the caller", func(attempt *retry.FailedAttempt) { attempt.Failure.Cause = call.CauseCancelled }, retry.Plan{Action: retry.ActionAbandon, Reason: retry.ReasonCancelled}},
		{"at the deadline", func(attempt *retry.FailedAttempt) { attempt.Deadline = start }, retry.Plan{Action: retry.ActionAbandon, Reason: retry.ReasonDeadline}},
		{"wait beyond the deadline", func(attempt *retry.FailedAttempt) {
			attempt.Untried, attempt.Deadline = 0, start.Add(time.Millisecond)
		}, retry.Plan{Action: retry.ActionAbandon, Reason: retry.ReasonDeadline}},
		{"all tried", func(attempt *retry.FailedAttempt) { attempt.Untried = 0 }, retry.Plan{Action: retry.ActionWait, Reason: retry.ReasonAllTried, Wait: 25 * time.Millisecond}},
		{"all tried, waited", func(attempt *retry.FailedAttempt) { attempt.Untried, attempt.Backoffs = 0, 1 }, retry.Plan{Action: retry.ActionRetry, Reason: retry.ReasonRepeatable}},
		{"server known to be leaving", func(attempt *retry.FailedAttempt) { attempt.ServerLeaving = true }, retry.Plan{Action: retry.ActionRetry, Reason: retry.ReasonAnnounced}},
		{"refused", func(attempt *retry.FailedAttempt) { attempt.Refused, attempt.Tries = true, 3 }, retry.Plan{Action: retry.ActionWait, Reason: retry.ReasonNoCandidate, Wait: 100 * time.Millisecond}},
		{"no candidate after nine waits", func(attempt *retry.FailedAttempt) { attempt.Candidates, attempt.Backoffs = 0, 9 }, retry.Plan{Action: retry.ActionWait, Reason: retry.ReasonNoCandidate, Wait: 500 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, plan := retry.State{}.WithFailure(start, attempt(c.change), 0)
			assert.Equal(t, c.plan, plan)
		})
	}
}

// Guards against twice the retries in one window after a calm time: sums that decay while they are spent allow as much again.
func TestBudgetIsNotExceededAfterACalmTime(t *testing.T) {
	const perSecond = 100
	var budget retry.Budget
	var spentAt []time.Time
	allowed := retry.BudgetShare*perSecond*retry.BudgetWindow.Seconds() + retry.BudgetFloor
	for tick := range 60 * perSecond {
		now := start.Add(time.Duration(tick) * time.Second / perSecond)
		budget = budget.WithSuccess(now)
		if tick < 15*perSecond {
			continue
		}
		for ok := true; ok; {
			if budget, ok = budget.WithSpend(now); ok {
				spentAt = append(spentAt, now)
			}
		}
		for spentAt[0].Before(now.Add(-retry.BudgetWindow)) {
			spentAt = spentAt[1:]
		}
		// The slot in progress counts beside a whole window.
		require.LessOrEqual(t, float64(len(spentAt)), 1.06*allowed, "after %v", now.Sub(start))
	}
	assert.GreaterOrEqual(t, float64(len(spentAt)), 0.9*allowed, "the sustained rate")
}

// Guards against a budget that stays spent, or is free at once, when time passes without calls or goroutines report out of order.
func TestBudgetWindowSlides(t *testing.T) {
	var budget retry.Budget
	spend := func(at time.Duration) int {
		count := 0
		for ok := true; ok; {
			if budget, ok = budget.WithSpend(start.Add(at)); ok {
				count++
			}
		}
		return count
	}
	assert.Equal(t, 3, spend(0))
	assert.Zero(t, spend(9*time.Second))
	assert.Equal(t, 3, spend(11*time.Second))
	assert.Zero(t, spend(10*time.Second), "an earlier time")
	budget = budget.WithRefund(start.Add(12 * time.Second))
	assert.Equal(t, 1, spend(12*time.Second))
	assert.Equal(t, 3, spend(time.Hour))
}

// Guards against more retries and hedges than the budget's share of successes and its floor.
func TestBudgetKeepsItsBound(t *testing.T) {
	for _, perSecond := range []int{0, 1, 30} {
		var budget retry.Budget
		successes, spent := 0, 0
		const seconds = 100
		for tick := range seconds * 100 {
			now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
			if perSecond > 0 && tick%(100/perSecond) == 0 {
				budget, successes = budget.WithSuccess(now), successes+1
			}
			var ok bool
			if budget, ok = budget.WithSpend(now); ok {
				spent++
			}
			_, hedgeAllowed := budget.WithHedge(now)
			assert.False(t, hedgeAllowed, "a hedge uses the budget reserved for failed requests")
		}
		bound := retry.BudgetShare*float64(successes) + retry.BudgetFloor*(1+seconds/retry.BudgetWindow.Seconds())
		t.Logf("%d successes/s: %d spent, bound %.0f", perSecond, spent, bound)
		assert.LessOrEqual(t, float64(spent), bound)
		assert.GreaterOrEqual(t, float64(spent), 0.8*bound, "the budget allows less than its bound")
	}
}

// Guards against hedge delays and stall timeouts that follow a single outlier.
func TestLatencyStatsFollowTheUsualTimes(t *testing.T) {
	var latency retry.LatencyStats
	_, known := latency.HedgeDelay()
	assert.False(t, known)
	for i := range 200 {
		first := 100 * time.Millisecond
		if i%64 == 0 {
			first = time.Minute
		}
		latency = latency.WithFirstToken(first).WithGap(200 * time.Millisecond)
	}
	delay, known := latency.HedgeDelay()
	assert.True(t, known)
	assert.Equal(t, 125*time.Millisecond, delay)
	for range 200 {
		latency = latency.WithAborted(time.Minute)
	}
	delay, _ = latency.HedgeDelay()
	assert.Equal(t, 125*time.Millisecond, delay, "aborted tries change the hedge delay")
	assert.Equal(t, 4*time.Second, latency.StallTimeout())
	assert.Equal(t, retry.MinStallTimeout, retry.LatencyStats{}.WithGap(time.Millisecond).StallTimeout())
}

// Guards against hedges of requests that must not run twice, and against reporting
// a failure that hides that the request may have run.
func TestRepeatPolicyOfAndMoreSevere(t *testing.T) {
	assert.Equal(t, config.RepeatIdempotent, retry.RepeatPolicyOf(config.Service{Protocol: config.ProtocolEngine, Repeat: config.RepeatNever}, call.Request{}))
	assert.Equal(t, config.RepeatNever, retry.RepeatPolicyOf(config.Service{Repeat: config.RepeatByKey}, call.Request{}))
	assert.Equal(t, config.RepeatByKey, retry.RepeatPolicyOf(config.Service{Repeat: config.RepeatByKey}, call.Request{IdempotencyKey: "k"}))
	assert.False(t, retry.MayHedge(config.RepeatByKey))
	mayHaveRun, notRun := &call.Failure{Ran: call.RanUnknown}, &call.Failure{Ran: call.RanNo}
	assert.Same(t, mayHaveRun, retry.MoreSevere(mayHaveRun, notRun))
	assert.Same(t, mayHaveRun, retry.MoreSevere(nil, mayHaveRun))
}
