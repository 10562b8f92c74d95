package retry

import (
	"time"
)

const (
	// slowFactor is how many usual gaps a stream pauses before its server counts as
	// slowed. Engines pause for a gap or two while they compute another request's prompt.
	slowFactor = 4
	// suspectFactor goes for a server that other work has shown to be slow already.
	suspectFactor = 2
	// suspectAt is the multiple of its equals' time from which a server counts as slow.
	suspectAt = 3
	// moveMargin is how many times the cost of moving the cost of staying must be,
	// since both are estimates and a move computes tokens again.
	moveMargin = 1.5
	// firstMoveFactor is how many hedge delays the first token may take, so that a
	// hedge comes first. A move helps where the hedges' share of the budget is spent.
	firstMoveFactor = 1.5
	// firstOverdue is how many times the usual time of its prompt the first token
	// takes before it is late, since long prompts take long at every server.
	firstOverdue = 2
	// pauseSlack is the least pause that counts, above the jitter of networks and timers.
	pauseSlack = 10 * time.Millisecond
	// leastRemaining is the number of tokens that a stream of unknown length goes on for at least.
	leastRemaining = 8
	// shortTokens bounds the streams that may use all of the rework budget.
	shortTokens = 64

	// ReworkShare is the number of tokens computed again for moves per token
	// delivered, under the 3% of extra work that speed may cost in all.
	ReworkShare = 0.02
	// LongReworkShare is the part of ReworkShare that streams with many tokens may
	// use, which gain less per token computed again.
	LongReworkShare = 0.01
	// ReworkFloor is the number of tokens within one window that a service
	// without deliveries has, so that a quiet service can move short streams.
	ReworkFloor = 64
)

// Stream is a stream in progress, as the decision to move it sees it.
type Stream struct {
	// Tokens is the number of tokens that the caller has.
	Tokens int
	// Expected is the expected length of the answer in tokens, 0 when it is not known.
	Expected int
	// Sent is the number of tokens that the current server sent, in Chunks chunks.
	Sent, Chunks int
	// First is the usual time to the first token after a prompt of that length, 0 when it is not known.
	First time.Duration
	// Slowdown is the server's time per unit of work as a multiple of its equals',
	// as this entry or others have seen it.
	Slowdown float64
}

// Rework bounds the tokens that are computed again by a share of those delivered; the zero value has none.
//
// Over a time T at most ReworkShare × delivered + ReworkFloor × (1 + T /
// BudgetWindow) are spent.
type Rework struct {
	// tokens counts the delivered ones as successes.
	tokens Budget
}

// WithDelivered returns the rework after tokens were delivered.
func (rework Rework) WithDelivered(now time.Time, tokens int) Rework {
	rework.tokens = rework.tokens.decayed(now)
	rework.tokens.successes += float64(tokens)
	return rework
}

// WithSpend returns the rework after tokens are computed again, or false when too few are left.
func (rework Rework) WithSpend(now time.Time, tokens int) (Rework, bool) {
	share := ReworkShare
	if tokens > shortTokens {
		share = LongReworkShare
	}
	rework.tokens = rework.tokens.decayed(now)
	if rework.tokens.spent+float64(tokens) > share*rework.tokens.successes+ReworkFloor {
		return rework, false
	}
	rework.tokens.spent += float64(tokens)
	return rework, true
}

// WithRelocation returns the state after a stream with that many tokens is moved
// to another server, or false when the budgets do not allow it.
//
// The move is charged here, and its retry is not charged again.
func (state State) WithRelocation(now time.Time, tokens int) (State, bool) {
	budget, ok := state.Budget.WithSpend(now)
	if !ok {
		return state, false
	}
	// The token in progress is lost too.
	rework, ok := state.Rework.WithSpend(now, tokens+1)
	if !ok {
		return state, false
	}
	state.Budget, state.Rework = budget, rework
	return state, true
}

// RelocationDelay returns the pause of a stream after which it goes on sooner at
// another server, or false while too little is known.
//
// A pause is taken to be the time that each chunk takes from now on.
func (latencyStats LatencyStats) RelocationDelay(stream Stream) (time.Duration, bool) {
	first, known := latencyStats.quantile()
	if !known {
		return 0, false
	}
	suspected := stream.Slowdown >= suspectAt
	if stream.Chunks == 0 {
		delay, _ := latencyStats.HedgeDelay()
		if stream.Tokens == 0 && !suspected {
			delay = time.Duration(firstMoveFactor * float64(delay))
		}
		return max(delay, firstOverdue*stream.First), stream.First > 0
	}
	if latencyStats.gap == 0 {
		return 0, false
	}
	factor := slowFactor
	if suspected {
		factor = suspectFactor
	}
	cost := moveMargin * (float64(first)/stream.remainingChunks() + float64(latencyStats.gap))
	return pauseSlack + max(time.Duration(factor)*latencyStats.gap, time.Duration(cost)), true
}

// remainingChunks returns the expected number of chunks to the end, at least 1.
//
// A stream of unknown length is expected to go on for as long as it has lasted.
func (stream Stream) remainingChunks() float64 {
	remaining := max(leastRemaining, stream.Tokens)
	if stream.Expected > 0 {
		remaining = stream.Expected - stream.Tokens
	}
	perChunk := max(1, float64(stream.Sent)/float64(stream.Chunks))
	return max(1, float64(remaining)/perChunk)
}
