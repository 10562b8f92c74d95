package request

import (
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// slow is the pause of the server so far, and the longest one after which the stream stays there.
func (relaying *relaying) slow() (time.Time, time.Duration) {
	pace, try := relaying.recovery.State(relaying.exchange.Service.Name).Latency, relaying.try.Load()
	limit, known := pace.RelocationDelay(relaying.stream(try))
	if !known {
		limit = relocateEvery
	}
	// A pause that has not begun may be followed by one with a shorter limit.
	if try.awaited.IsZero() || !known {
		return time.Time{}, min(limit, relocateEvery)
	}
	return try.awaited, limit
}

// relocateEvery is how often a stream about which too little is known is looked at again.
const relocateEvery = 50 * time.Millisecond

// relocates charges the move of the stream to another server, or reports that it stays.
func (relaying *relaying) relocates() bool {
	exchange, try := relaying.exchange, relaying.try.Load()
	if _, left := untried(exchange); left == 0 || try.progress.Finished() {
		return false
	}
	now := time.Now()
	_, ok := rcu.Apply(relaying.recovery.cell(exchange.Service.Name), func(state retry.State) (retry.State, bool) {
		return state.WithRelocation(now, try.progress.Next())
	})
	return ok
}

func (relaying *relaying) stream(try try) retry.Stream {
	exchange := relaying.exchange
	usual := exchange.View.Fleet.Pool(exchange.Service.Name).Health().AnswerTime
	return retry.Stream{
		First:    usual.Expected(backend.WorkUnits(exchange.Request)),
		Tokens:   try.progress.Next(),
		Expected: exchange.Request.Estimate.Tokens,
		Sent:     try.highest - try.lowest,
		Chunks:   try.chunks,
		Slowdown: exchange.Server.Observation.Load().ExpectedSlowdown(time.Now()),
	}
}
