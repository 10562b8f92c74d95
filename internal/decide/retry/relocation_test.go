package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// Guards against moves that cost more than staying, and against streams that stay at
// a slow server although moving is cheaper.
func TestRelocationDelayWeighsMovingAgainstStaying(t *testing.T) {
	var latency retry.LatencyStats
	for range 30 {
		latency = latency.WithFirstToken(40 * time.Millisecond).WithGap(20 * time.Millisecond)
	}
	cases := []struct {
		name   string
		stream retry.Stream
		delay  time.Duration
		moves  bool
	}{
		{"many tokens remain", retry.Stream{Tokens: 5, Expected: 25, ServerTokens: 5, ServerChunks: 5}, 90 * time.Millisecond, true},
		{"one token remains", retry.Stream{Tokens: 14, Expected: 15, ServerTokens: 14, ServerChunks: 14}, 100 * time.Millisecond, true},
		{"one chunk remains", retry.Stream{Tokens: 32, Expected: 40, ServerTokens: 32, ServerChunks: 4}, 100 * time.Millisecond, true},
		{"longer than expected", retry.Stream{Tokens: 20, Expected: 15, ServerTokens: 20, ServerChunks: 20}, 100 * time.Millisecond, true},
		{"unknown length", retry.Stream{Tokens: 3, ServerTokens: 3, ServerChunks: 3}, 90 * time.Millisecond, true},
		{"other requests are slow at the server", retry.Stream{Tokens: 5, Expected: 25, ServerTokens: 5, ServerChunks: 5, Slowdown: 3}, 50 * time.Millisecond, true},
		{"first token, unknown usual time", retry.Stream{}, 0, false},
		{"first token", retry.Stream{UsualFirstToken: 30 * time.Millisecond}, 75 * time.Millisecond, true},
		{"first token of a long prompt", retry.Stream{UsualFirstToken: time.Second}, 2 * time.Second, true},
		{"first token, suspected server", retry.Stream{UsualFirstToken: 20 * time.Millisecond, Slowdown: 3}, 50 * time.Millisecond, true},
		{"first token after a move", retry.Stream{UsualFirstToken: 20 * time.Millisecond, Tokens: 5}, 50 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			delay, moves := latency.RelocationDelay(c.stream)
			assert.Equal(t, c.moves, moves)
			if c.moves {
				assert.Equal(t, c.delay, delay)
			}
		})
	}
	_, known := retry.LatencyStats{}.RelocationDelay(retry.Stream{Tokens: 5, ServerChunks: 5, Slowdown: 10})
	assert.False(t, known, "without latency samples of the service")
}

// Guards against moves that recompute more tokens than the budget allows, and against
// moves that are charged twice.
func TestRelocationKeepsItsBounds(t *testing.T) {
	for _, c := range []struct {
		tokens, answer int
		share          float64
	}{{10, 20, retry.RecomputeShare}, {200, 200, retry.LongRecomputeShare}} {
		var state retry.State
		delivered, recomputed := 0, 0
		const seconds = 100
		for tick := range seconds * 100 {
			now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
			state, delivered = state.WithSuccess(now, c.answer), delivered+c.answer
			next, ok := state.WithRelocation(now, c.tokens)
			if !ok {
				continue
			}
			state, recomputed = next, recomputed+c.tokens
			charged, plan := state.WithFailure(now, retry.FailedAttempt{
				Repeat: config.RepeatIdempotent, Failure: call.Failure{Ran: call.RanYes, Cause: call.CauseSlowed},
				Deadline: now.Add(time.Minute), Tries: 1, Candidates: 3, Untried: 2,
			}, 0)
			assert.Equal(t, retry.Plan{Action: retry.ActionRetry, Reason: retry.ReasonSlowed}, plan)
			assert.Equal(t, state, charged, "charged twice")
		}
		bound := c.share*float64(delivered) + retry.RecomputeFloor*(1+seconds/retry.BudgetWindow.Seconds())
		t.Logf("moves at %d tokens: %d recomputed of %d delivered, bound %.0f", c.tokens, recomputed, delivered, bound)
		assert.LessOrEqual(t, float64(recomputed), bound)
		assert.GreaterOrEqual(t, float64(recomputed), 0.8*bound, "the budget allows less than its bound")
	}
}
