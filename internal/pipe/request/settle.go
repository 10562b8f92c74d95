package request

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Result is a request that has ended, with its times since arrival.
type Result struct {
	Exchange Exchange
	Err      error
	// FirstToken is the time to the first token, 0 if there was none.
	FirstToken time.Duration
	// Whole is the time to the end.
	Whole time.Duration
	// Tokens is the number of tokens relayed to the caller.
	Tokens int
	// Gaps are the times per token between chunks.
	Gaps []time.Duration
	// LongestGap is the longest time between two pieces of an opaque answer.
	LongestGap time.Duration
}

// Recorder takes the results of requests, for metrics, logs and explanations.
type Recorder interface {
	// Record must not block.
	Record(result Result)
}

// Settle reports the end of each request to the recorders.
func Settle(recorders ...Recorder) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			timing := &timing{sink: exchange.Sink, arrived: exchange.Request.Arrived}
			if exchange.Sink != nil {
				exchange = exchange.WithSink(timing)
			}
			if exchange.Reply != nil {
				exchange = exchange.WithReply(&replyTiming{Reply: exchange.Reply, timing: timing})
			}
			ended, err := next.Handle(ctx, exchange)
			result := Result{
				Exchange:   ended,
				Err:        err,
				FirstToken: timing.first,
				Whole:      time.Since(timing.arrived),
				Tokens:     timing.tokens,
				Gaps:       timing.gaps,
				LongestGap: timing.longestGap,
			}
			for _, recorder := range recorders {
				recorder.Record(result)
			}
			return ended, err
		})
	}
}

// timing is a sink that takes the times of chunks, which arrive one after another.
type timing struct {
	sink       Sink
	arrived    time.Time
	first      time.Duration
	last       time.Duration
	tokens     int
	gaps       []time.Duration
	longestGap time.Duration
}

// Send notes the time of a chunk and passes it on.
func (timing *timing) Send(ctx context.Context, chunk call.Chunk) error {
	if chunk.Tokens > 0 {
		timing.record(time.Since(timing.arrived), chunk.Tokens)
	}
	return timing.sink.Send(ctx, chunk)
}

func (timing *timing) record(now time.Duration, tokens int) {
	if timing.tokens == 0 {
		timing.first = now
	} else {
		timing.gaps = append(timing.gaps, (now-timing.last)/time.Duration(tokens))
	}
	timing.last = now
	timing.tokens += tokens
}

// replyTiming is a reply that takes the times of the pieces.
type replyTiming struct {
	Reply
	timing *timing
}

// Write notes the time of a piece and passes it on.
func (replyTiming *replyTiming) Write(piece []byte) error {
	timing := replyTiming.timing
	now := time.Since(timing.arrived)
	if timing.first == 0 {
		timing.first = now
	} else {
		timing.longestGap = max(timing.longestGap, now-timing.last)
	}
	timing.last = now
	return replyTiming.Reply.Write(piece)
}
