package retry

import (
	"time"
)

const (
	// slowPauseFactor is the pause of a stream, in average gaps between chunks, after which
	// its server counts as slowed down. Engines pause for a gap or two while they compute
	// another request's prompt.
	slowPauseFactor = 4
	// suspectPauseFactor replaces slowPauseFactor for a server that other requests have
	// already shown to be slow.
	suspectPauseFactor = 2
	// suspectSlowdown is the slowdown, relative to comparable servers, from which a server counts as slow.
	suspectSlowdown = 3
	// moveMargin is the factor by which the cost of staying must exceed that of moving,
	// since both are estimates and a move computes tokens again.
	moveMargin = 1.5
	// firstTokenMoveFactor is the wait for the first token, in hedge delays, after which a
	// stream is moved. It is above 1 so that a hedge is sent first; moving helps when the
	// hedges' share of the budget is spent.
	firstTokenMoveFactor = 1.5
	// firstTokenLateFactor is the wait for the first token, as a multiple of the usual time
	// for a prompt of that length, before which a stream is not moved: long prompts take
	// long at every server.
	firstTokenLateFactor = 2
	// pauseMargin is added to each pause limit; it is longer than the jitter of networks and timers.
	pauseMargin = 10 * time.Millisecond
	// minRemainingTokens is the least number of tokens that a stream of unknown length is expected to continue for.
	minRemainingTokens = 8
	// maxShortStreamTokens is the number of tokens up to which a stream may use all of the recompute budget.
	maxShortStreamTokens = 64

	// RecomputeShare is the maximum number of tokens that moves compute again per
	// delivered token. It is below the 3% of extra work allowed for lower latency in total.
	RecomputeShare = 0.02
	// LongRecomputeShare is the part of RecomputeShare that may be spent on streams with
	// more than maxShortStreamTokens, which gain less per token computed again.
	LongRecomputeShare = 0.01
	// RecomputeFloor is the number of tokens per BudgetWindow that a service without
	// delivered tokens may use, so that a service with little traffic can move short streams.
	RecomputeFloor = 64
)

// Stream is the progress of an answer stream, as input to the decision to move it.
type Stream struct {
	// Tokens is the number of tokens relayed to the caller so far.
	Tokens int
	// Expected is the expected length of the answer in tokens, 0 if unknown.
	Expected int
	// ServerTokens and ServerChunks are the numbers of tokens and chunks received from the
	// current server.
	ServerTokens, ServerChunks int
	// UsualFirstToken is the usual time to the first token for a prompt of the request's
	// length, 0 if unknown.
	UsualFirstToken time.Duration
	// Slowdown is the server's time per unit of work relative to comparable servers, as
	// measured by this entry or reported by others.
	Slowdown float64
}

// RecomputeBudget limits the tokens that moves compute again to a share of those
// delivered; the zero value has no delivered tokens.
//
// In any BudgetWindow at most RecomputeShare × delivered + RecomputeFloor tokens are spent.
type RecomputeBudget struct {
	// tokens counts delivered tokens as successes.
	tokens windowCounts
}

// WithDelivered returns the budget after the given number of tokens was delivered.
func (recomputeBudget RecomputeBudget) WithDelivered(now time.Time, tokens int) RecomputeBudget {
	recomputeBudget.tokens = recomputeBudget.tokens.withSuccesses(tokens, now)
	return recomputeBudget
}

// WithSpend returns the budget after the given number of tokens is computed again, or
// false if it does not allow that many.
func (recomputeBudget RecomputeBudget) WithSpend(now time.Time, tokens int) (RecomputeBudget, bool) {
	share := RecomputeShare
	if tokens > maxShortStreamTokens {
		share = LongRecomputeShare
	}
	counts := recomputeBudget.tokens.at(now)
	if float64(counts.spent+tokens) > share*float64(counts.successes)+RecomputeFloor {
		return recomputeBudget, false
	}
	recomputeBudget.tokens = counts.withSpent(tokens, now)
	return recomputeBudget, true
}

// WithRelocation returns the state after a stream, of which the given number of tokens
// was relayed, is moved to another server, or false if the budgets do not allow the move.
//
// The move is charged here; the retry that carries it out is not charged again.
func (state State) WithRelocation(now time.Time, tokens int) (State, bool) {
	budget, ok := state.Budget.WithSpend(now)
	if !ok {
		return state, false
	}
	// The token that the server is generating is lost as well.
	recompute, ok := state.Recompute.WithSpend(now, tokens+1)
	if !ok {
		return state, false
	}
	state.Budget, state.Recompute = budget, recompute
	return state, true
}

// RelocationDelay returns the pause after which a stream is expected to finish sooner
// at another server, or false if there are too few samples.
//
// The estimate assumes that each remaining chunk at the current server takes as long as the pause.
func (latencyStats LatencyStats) RelocationDelay(stream Stream) (time.Duration, bool) {
	usualFirstToken, known := latencyStats.quantile()
	if !known {
		return 0, false
	}
	suspected := stream.Slowdown >= suspectSlowdown
	if stream.ServerChunks == 0 {
		delay, _ := latencyStats.HedgeDelay()
		if stream.Tokens == 0 && !suspected {
			delay = time.Duration(firstTokenMoveFactor * float64(delay))
		}
		return max(delay, firstTokenLateFactor*stream.UsualFirstToken), stream.UsualFirstToken > 0
	}
	if latencyStats.gap == 0 {
		return 0, false
	}
	pauseFactor := slowPauseFactor
	if suspected {
		pauseFactor = suspectPauseFactor
	}
	cost := moveMargin * (float64(usualFirstToken)/stream.remainingChunks() + float64(latencyStats.gap))
	return pauseMargin + max(time.Duration(pauseFactor)*latencyStats.gap, time.Duration(cost)), true
}

// remainingChunks returns the expected number of chunks up to the end of the stream, at least 1.
//
// A stream of unknown length is expected to produce as many tokens again as it has so far.
func (stream Stream) remainingChunks() float64 {
	remaining := max(minRemainingTokens, stream.Tokens)
	if stream.Expected > 0 {
		remaining = stream.Expected - stream.Tokens
	}
	tokensPerChunk := max(1, float64(stream.ServerTokens)/float64(stream.ServerChunks))
	return max(1, float64(remaining)/tokensPerChunk)
}
