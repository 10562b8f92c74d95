package request

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// relocationPause is the [pauseFunc] that detects slowed servers: it returns the time since
// which the stream waits for the server's next chunk, and the longest wait after which the
// stream stays at the server.
func (relaySink *relaySink) relocationPause() (time.Time, time.Duration) {
	latency, state := relaySink.retryStates.State(relaySink.exchange.Service.Name).Latency, relaySink.state.Load()
	limit, known := latency.RelocationDelay(relaySink.stream(state))
	if !known {
		limit = relocationCheckInterval
	}
	// While no pause is in progress, check again soon, because the next pause may have a
	// shorter limit.
	if state.awaitedSince.IsZero() || !known {
		return time.Time{}, min(limit, relocationCheckInterval)
	}
	return state.awaitedSince, limit
}

// relocationCheckInterval is how often the pause limit of a stream is determined again while
// the service has too few samples or the stream has no pause in progress.
const relocationCheckInterval = 50 * time.Millisecond

// chargeRelocation charges the relocation of the stream to another server to the budgets,
// or returns false when the stream stays, because no untried server is left, the answer is
// complete, or the budgets do not allow the relocation.
func (relaySink *relaySink) chargeRelocation() bool {
	exchange, current := relaySink.exchange, relaySink.state.Load()
	if _, untriedCount := countUntried(exchange); untriedCount == 0 || current.progress.Finished() {
		return false
	}
	now := time.Now()
	_, ok := rcu.Apply(relaySink.retryStates.cell(exchange.Service.Name), func(state retry.State) (retry.State, bool) {
		return state.WithRelocation(now, current.progress.Next())
	})
	return ok
}

// stream returns the properties of the stream that determine the limit of a pause.
func (relaySink *relaySink) stream(state relayState) retry.Stream {
	exchange := relaySink.exchange
	answerTime := exchange.View.Fleet.Pool(exchange.Service.Name).Health().AnswerTime
	return retry.Stream{
		UsualFirstToken: answerTime.Expected(backend.WorkUnits(exchange.Request)),
		Tokens:          state.progress.Next(),
		Expected:        exchange.Request.Estimate.Tokens,
		ServerTokens:    state.highestToken - state.lowestToken,
		ServerChunks:    state.chunkCount,
		Slowdown:        exchange.Server.Observation.Load().ExpectedSlowdown(time.Now()),
	}
}
