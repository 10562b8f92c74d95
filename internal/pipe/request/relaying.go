package request

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// relaySink is the sink of one try.
type relaySink struct {
	recovery *Recovery
	exchange Exchange
	state    *rcu.Cell[relayState]
}

// relayState is what came of one try so far.
type relayState struct {
	progress stream.Assembler
	// tokensBefore is the number of answer tokens that the caller had before.
	tokensBefore int
	// lowestToken and highest bound the tokens that the server sent.
	lowestToken, highestToken int
	resumedTokens             int
	chunks                    int
	// reportedRecomputed is the number of recomputed tokens that the engine states, negative for none.
	reportedRecomputed int
	// sentAt is the time of sending; first and latest are the times of chunks.
	sentAt, firstChunkAt, lastChunkAt time.Time
	// awaitedSince is since when the server's next chunk is awaited, zero while the caller is.
	awaitedSince time.Time
	malformed    error
	callerGone   error
}

func newRelaySink(recovery *Recovery, exchange Exchange) *relaySink {
	now := time.Now()
	return &relaySink{recovery: recovery, exchange: exchange, state: rcu.New(relayState{
		progress:           exchange.Progress,
		tokensBefore:       exchange.Progress.Next(),
		resumedTokens:      exchange.Request.Completion.Resume.Tokens,
		reportedRecomputed: -1,
		sentAt:             now,
		awaitedSince:       now,
	})}
}

// Send takes a chunk of the server in and passes the chunks that are due to the caller.
func (relaySink *relaySink) Send(ctx context.Context, chunk call.Chunk) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	now := time.Now()
	var due []call.Chunk
	var verdict stream.Verdict
	current := relaySink.state.Update(func(state relayState) relayState {
		state = state.withChunk(now, chunk)
		state.progress, due, verdict = state.progress.WithChunk(chunk)
		return state
	})
	for _, piece := range due {
		if piece.Final {
			piece.Recomputed = relaySink.exchange.Recomputed + current.recomputed()
		}
		if err := relaySink.exchange.Sink.Send(ctx, piece); err != nil {
			relaySink.state.Update(func(state relayState) relayState { state.callerGone = err; return state })
			return err
		}
	}
	if verdict != stream.VerdictTaken {
		failure := relayFailure(relaySink.exchange, call.RanYes, call.CauseMalformed, fmt.Sprintf("chunk at token %d of %d: %s", chunk.Offset, current.progress.Next(), verdict))
		relaySink.state.Update(func(state relayState) relayState { state.malformed = failure; return state })
		return failure
	}
	now = time.Now()
	relaySink.state.Update(func(state relayState) relayState { state.awaitedSince = now; return state })
	return nil
}

// stallPause is the pause of the server so far.
func (relaySink *relaySink) stallPause() (time.Time, time.Duration) {
	pace, state := relaySink.recovery.State(relaySink.exchange.Service.Name).Pace, relaySink.state.Load()
	if state.chunks == 0 {
		return state.awaitedSince, pace.FirstAfter()
	}
	return state.awaitedSince, pace.StallAfter()
}

// withChunk returns the try after a chunk of the server.
func (relayState relayState) withChunk(now time.Time, chunk call.Chunk) relayState {
	if relayState.chunks == 0 {
		relayState.firstChunkAt, relayState.lowestToken = now, chunk.Offset
	}
	relayState.chunks++
	relayState.lastChunkAt, relayState.awaitedSince = now, time.Time{}
	relayState.lowestToken, relayState.highestToken = min(relayState.lowestToken, chunk.Offset), max(relayState.highestToken, chunk.End())
	if chunk.Final {
		relayState.reportedRecomputed = chunk.Recomputed
	}
	return relayState
}

// recomputed returns the number of answer tokens that the server computed again.
//
// A server that began before the caller's first missing token computed that
// part again. Else the engine's own statement counts, and for a stream without
// its end the tokens it was resumed with. A try that ends before its first
// chunk counts none, because how far it came is unknown.
func (relayState relayState) recomputed() int {
	switch {
	case relayState.chunks == 0:
		return 0
	case relayState.lowestToken < relayState.tokensBefore:
		return min(relayState.highestToken, relayState.tokensBefore) - relayState.lowestToken
	case relayState.reportedRecomputed >= 0:
		return relayState.reportedRecomputed
	default:
		return relayState.resumedTokens
	}
}
