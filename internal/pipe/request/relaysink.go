package request

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// relaySink is the sink of one attempt. It merges the attempt's chunks into the answer.
type relaySink struct {
	retryStates *RetryStates
	exchange    Exchange
	state       *rcu.Cell[relayState]
	// started is closed when the first token has arrived.
	started chan struct{}
}

// relayState is the progress of one attempt.
type relayState struct {
	progress stream.Assembler
	// tokensBefore is the number of answer tokens that the caller had received before the
	// attempt.
	tokensBefore int
	// lowestToken and highestToken bound the range of answer tokens that the server sent,
	// the upper bound excluded.
	lowestToken, highestToken int
	// resumedTokens is the number of tokens with which the attempt was resumed.
	resumedTokens int
	// chunkCount is the number of chunks that arrived.
	chunkCount int
	// reportedRecomputed is the number of recomputed tokens that the engine reports,
	// negative before its report.
	reportedRecomputed int
	// sentAt is when the attempt was sent; firstChunkAt and lastChunkAt are when its
	// first and latest chunk arrived.
	sentAt, firstChunkAt, lastChunkAt time.Time
	// awaitedSince is when waiting for the next chunk that advances the answer began, zero while such a
	// chunk is being sent to the caller. A stalled server may go on sending empty or repeated chunks.
	awaitedSince time.Time
	// malformedErr is set when the server sent a chunk that does not fit the answer, and
	// callerErr when a chunk could not be sent towards the caller.
	malformedErr error
	callerErr    error
}

func newRelaySink(retryStates *RetryStates, exchange Exchange) *relaySink {
	now := time.Now()
	return &relaySink{retryStates: retryStates, exchange: exchange, started: make(chan struct{}), state: rcu.New(relayState{
		progress:           exchange.Progress,
		tokensBefore:       exchange.Progress.Next(),
		resumedTokens:      exchange.Request.Completion.Resume.Tokens,
		reportedRecomputed: -1,
		sentAt:             now,
		awaitedSince:       now,
	})}
}

// Send merges a chunk of the server into the answer, and passes the chunks that are then
// next in order to the caller.
func (relaySink *relaySink) Send(ctx context.Context, chunk call.Chunk) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	now := time.Now()
	var ready []call.Chunk
	var chunkResult stream.ChunkResult
	var before relayState
	current := relaySink.state.Update(func(state relayState) relayState {
		before = state
		state = state.withChunk(now, chunk)
		state.progress, ready, chunkResult = state.progress.WithChunk(chunk)
		if state.advancedFrom(before) {
			state.awaitedSince = time.Time{}
		}
		return state
	})
	if current.started() && !before.started() {
		close(relaySink.started)
	}
	for _, readyChunk := range ready {
		if readyChunk.Final {
			readyChunk.Recomputed = relaySink.exchange.RecomputedTokens + current.recomputed()
		}
		if err := relaySink.exchange.Sink.Send(ctx, readyChunk); err != nil {
			relaySink.state.Update(func(state relayState) relayState { state.callerErr = err; return state })
			return err
		}
	}
	if chunkResult != stream.ChunkAccepted {
		failure := relayFailure(relaySink.exchange, call.RanYes, call.CauseMalformed, fmt.Sprintf("chunk at token %d rejected, next expected token %d: %s", chunk.Offset, current.progress.Next(), chunkResult))
		relaySink.state.Update(func(state relayState) relayState { state.malformedErr = failure; return state })
		return failure
	}
	now = time.Now()
	relaySink.state.Update(func(state relayState) relayState {
		if state.awaitedSince.IsZero() {
			state.awaitedSince = now
		}
		return state
	})
	return nil
}

// stallPause is the [pauseFunc] that detects stalls: it returns the time since which the
// stream waits for the server's next chunk, and the longest wait that is not a stall.
func (relaySink *relaySink) stallPause() (time.Time, time.Duration) {
	latency, state := relaySink.retryStates.State(relaySink.exchange.Service.Name).Latency, relaySink.state.Load()
	if !state.started() {
		return state.awaitedSince, latency.FirstTokenTimeout()
	}
	return state.awaitedSince, latency.StallTimeout()
}

// started reports whether a token has arrived. Some engines send an empty chunk before they read the prompt.
func (relayState relayState) started() bool { return relayState.highestToken > relayState.lowestToken }

// advancedFrom reports whether a chunk has advanced the answer since an earlier state, or the attempt, which may repeat
// tokens that an attempt before it sent.
func (relayState relayState) advancedFrom(before relayState) bool {
	return relayState.progress.Finished() || relayState.highestToken > before.highestToken ||
		relayState.progress.Received() > before.progress.Received()
}

// withChunk returns the state after a chunk of the server.
func (relayState relayState) withChunk(now time.Time, chunk call.Chunk) relayState {
	if relayState.chunkCount == 0 {
		relayState.firstChunkAt, relayState.lowestToken = now, chunk.Offset
	}
	relayState.chunkCount++
	relayState.lastChunkAt = now
	relayState.lowestToken, relayState.highestToken = min(relayState.lowestToken, chunk.Offset), max(relayState.highestToken, chunk.End())
	if chunk.Final {
		relayState.reportedRecomputed = chunk.Recomputed
	}
	return relayState
}

// recomputed returns the number of answer tokens that the server computed again.
//
// A server that started before the caller's first missing token recomputed the tokens
// up to there. Otherwise the number that the engine reported counts, or, for a stream
// without its end, the number of tokens with which it was resumed. An attempt that ends
// before its first chunk counts none, because its progress is unknown.
func (relayState relayState) recomputed() int {
	switch {
	case relayState.chunkCount == 0:
		return 0
	case relayState.lowestToken < relayState.tokensBefore:
		return min(relayState.highestToken, relayState.tokensBefore) - relayState.lowestToken
	case relayState.reportedRecomputed >= 0:
		return relayState.reportedRecomputed
	default:
		return relayState.resumedTokens
	}
}
