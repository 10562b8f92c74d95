package request

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/stream"
)

// relaying is the sink of one try, with a timer that ends the try when it stalls.
type relaying struct {
	recovery *Recovery
	exchange Exchange
	cancel   context.CancelCauseFunc
	timer    *time.Timer
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
	// waiting reports that the server's next chunk is awaited, and the caller is not.
	waiting    bool
	malformed  error
	callerGone error
}

func newRelaying(recovery *Recovery, exchange Exchange, cancel context.CancelCauseFunc) *relaying {
	relaying := &relaying{recovery: recovery, exchange: exchange, cancel: cancel}
	relaying.try = rcu.New(try{
		progress: exchange.Progress,
		start:    exchange.Progress.Next(),
		resumed:  exchange.Request.Completion.Resume.Tokens,
		reported: -1,
		begin:    time.Now(),
		waiting:  true,
	})
	relaying.timer = time.AfterFunc(relaying.limit(), relaying.stalled)
	return relaying
}

// Send takes a chunk of the server in and passes the chunks that are due to the caller.
func (relaying *relaying) Send(ctx context.Context, chunk call.Chunk) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	relaying.timer.Stop()
	now := time.Now()
	var due []call.Chunk
	var verdict stream.Verdict
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
	if verdict != stream.VerdictTaken {
		failure := relaying.failure(call.CauseMalformed, fmt.Sprintf("chunk at token %d of %d: %s", chunk.Offset, current.progress.Next(), verdict))
		relaying.try.Update(func(try try) try { try.malformed = failure; return try })
		return failure
	}
	relaying.try.Update(func(try try) try { try.waiting = true; return try })
	relaying.timer.Reset(relaying.limit())
	return nil
}

// limit is the longest pause before the next chunk.
func (relaying *relaying) limit() time.Duration {
	pace := relaying.recovery.State(relaying.exchange.Service.Name).Pace
	if relaying.try.Load().chunks == 0 {
		return pace.FirstAfter()
	}
	return pace.StallAfter()
}

// stalled ends the try if the budget has a retry left; work is not given up
// for a replacement that could not start.
func (relaying *relaying) stalled() {
	if !relaying.try.Load().waiting {
		return
	}
	if !relaying.recovery.State(relaying.exchange.Service.Name).Budget.Allows(time.Now()) {
		relaying.timer.Reset(relaying.limit())
		return
	}
	relaying.cancel(relaying.failure(call.CauseStalled, "no chunk for "+relaying.limit().String()))
}

// stop ends the timer and returns what came of the try.
func (relaying *relaying) stop() try {
	relaying.timer.Stop()
	return relaying.try.Update(func(try try) try { try.waiting = false; return try })
}

func (relaying *relaying) failure(cause call.Cause, detail string) *call.Failure {
	return &call.Failure{Ran: call.RanYes, Cause: cause, Step: StepRelay, Peer: relaying.exchange.Server.Name, Detail: detail}
}

// withChunk returns the try after a chunk of the server.
func (try try) withChunk(now time.Time, chunk call.Chunk) try {
	if try.chunks == 0 {
		try.first, try.lowest = now, chunk.Offset
	}
	try.chunks++
	try.latest, try.waiting = now, false
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
