package request

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// relocationPause is the pause of the server so far, and the longest one after which the stream stays there.
func (relaySink *relaySink) relocationPause() (time.Time, time.Duration) {
	pace, state := relaySink.recovery.State(relaySink.exchange.Service.Name).Pace, relaySink.state.Load()
	limit, known := pace.MoveAfter(relaySink.stream(state))
	if !known {
		limit = relocationCheckInterval
	}
	// A pause that has not begun may be followed by one with a shorter limit.
	if state.awaitedSince.IsZero() || !known {
		return time.Time{}, min(limit, relocationCheckInterval)
	}
	return state.awaitedSince, limit
}

// relocationCheckInterval is how often a stream about which too little is known is looked at again.
const relocationCheckInterval = 50 * time.Millisecond

// chargeRelocation charges the move of the stream to another server, or reports that it stays.
func (relaySink *relaySink) chargeRelocation() bool {
	exchange, current := relaySink.exchange, relaySink.state.Load()
	if _, left := untried(exchange); left == 0 || current.progress.Finished() {
		return false
	}
	now := time.Now()
	_, ok := rcu.Apply(relaySink.recovery.cell(exchange.Service.Name), func(state retry.State) (retry.State, bool) {
		return state.WithRelocation(now, current.progress.Next())
	})
	return ok
}

func (relaySink *relaySink) stream(state relayState) retry.Stream {
	exchange := relaySink.exchange
	usual := exchange.View.Fleet.Pool(exchange.Service.Name).Health().Answers
	return retry.Stream{
		First:    usual.Expected(backend.Units(exchange.Request)),
		Tokens:   state.progress.Next(),
		Expected: exchange.Request.Estimate.Tokens,
		Sent:     state.highestToken - state.lowestToken,
		Chunks:   state.chunks,
		Slowness: exchange.Server.Observation.Load().Suspicion(time.Now()),
	}
}
