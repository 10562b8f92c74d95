package request

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// relaying is the sink of one try.
type relaying struct {
	recovery *RetryStates
	exchange Exchange
	try      *rcu.Cell[try]
}

// try is what came of one try so far.
type try struct {
	progress stream.Assembler
	// start is the number of answer tokens that the caller had before.
	start int
	// lowest and highest bound the tokens that the server sent.
	lowest, highest int
	resumed         int
	chunks          int
	// reported is the number of recomputed tokens that the engine states, negative for none.
	reported int
	// begin is the time of sending; first and latest are the times of chunks.
	begin, first, latest time.Time
	// awaited is since when the server's next chunk is awaited, zero while the caller is.
	awaited    time.Time
	malformed  error
	callerGone error
}

func newRelaying(recovery *RetryStates, exchange Exchange) *relaying {
	now := time.Now()
	return &relaying{recovery: recovery, exchange: exchange, try: rcu.New(try{
		progress: exchange.Progress,
		start:    exchange.Progress.Next(),
		resumed:  exchange.Request.Completion.Resume.Tokens,
		reported: -1,
		begin:    now,
		awaited:  now,
	})}
}

// Send takes a chunk of the server in and passes the chunks that are due to the caller.
func (relaying *relaying) Send(ctx context.Context, chunk call.Chunk) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	now := time.Now()
	var due []call.Chunk
	var verdict stream.ChunkResult
	current := relaying.try.Update(func(try try) try {
		try = try.withChunk(now, chunk)
		try.progress, due, verdict = try.progress.WithChunk(chunk)
		return try
	})
	for _, piece := range due {
		if piece.Final {
			piece.Recomputed = relaying.exchange.Recomputed + current.recomputed()
		}
		if err := relaying.exchange.Sink.Send(ctx, piece); err != nil {
			relaying.try.Update(func(try try) try { try.callerGone = err; return try })
			return err
		}
	}
	if verdict != stream.ChunkAccepted {
		failure := failed(relaying.exchange, call.RanYes, call.CauseMalformed, fmt.Sprintf("chunk at token %d of %d: %s", chunk.Offset, current.progress.Next(), verdict))
		relaying.try.Update(func(try try) try { try.malformed = failure; return try })
		return failure
	}
	now = time.Now()
	relaying.try.Update(func(try try) try { try.awaited = now; return try })
	return nil
}

// idle is the pause of the server so far.
func (relaying *relaying) idle() (time.Time, time.Duration) {
	pace, try := relaying.recovery.State(relaying.exchange.Service.Name).Latency, relaying.try.Load()
	if try.chunks == 0 {
		return try.awaited, pace.FirstTokenTimeout()
	}
	return try.awaited, pace.StallTimeout()
}

// withChunk returns the try after a chunk of the server.
func (try try) withChunk(now time.Time, chunk call.Chunk) try {
	if try.chunks == 0 {
		try.first, try.lowest = now, chunk.Offset
	}
	try.chunks++
	try.latest, try.awaited = now, time.Time{}
	try.lowest, try.highest = min(try.lowest, chunk.Offset), max(try.highest, chunk.End())
	if chunk.Final {
		try.reported = chunk.Recomputed
	}
	return try
}

// recomputed returns the number of answer tokens that the server computed again.
//
// A server that began before the caller's first missing token computed that
// part again. Else the engine's own statement counts, and for a stream without
// its end the tokens it was resumed with. A try that ends before its first
// chunk counts none, because how far it came is unknown.
func (try try) recomputed() int {
	switch {
	case try.chunks == 0:
		return 0
	case try.lowest < try.start:
		return min(try.highest, try.start) - try.lowest
	case try.reported >= 0:
		return try.reported
	default:
		return try.resumed
	}
}
