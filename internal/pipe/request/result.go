package request

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
)

// Result describes a request that has ended. Its times are relative to the arrival of the
// request.
type Result struct {
	Exchange Exchange
	Err      error
	// TimeToFirstToken is the time to the first token or the first piece of an opaque
	// answer, 0 if there was none.
	TimeToFirstToken time.Duration
	// Duration is the time to the end of the request.
	Duration time.Duration
	// Tokens is the number of answer tokens sent to the caller.
	Tokens int
	// InterTokenTimes are the times between consecutive chunks, each divided by the number
	// of tokens in the later chunk.
	InterTokenTimes []time.Duration
	// LongestGap is the longest time between consecutive pieces of an opaque answer.
	LongestGap time.Duration
}

// Recorder receives the results of requests, for metrics, logs and explanations.
type Recorder interface {
	// Record processes a result without blocking.
	Record(result Result)
}

// Recorders passes each result to all of its recorders.
type Recorders []Recorder

// Record implements [Recorder].
func (recorders Recorders) Record(result Result) {
	for _, recorder := range recorders {
		recorder.Record(result)
	}
}

// RecordResults passes the result of each request to the recorders when it ends.
func RecordResults(recorders ...Recorder) Filter {
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
				Exchange:         ended,
				Err:              err,
				TimeToFirstToken: timing.timeToFirst,
				Duration:         time.Since(timing.arrived),
				Tokens:           timing.tokens,
				InterTokenTimes:  timing.gaps,
				LongestGap:       timing.longestGap,
			}
			Recorders(recorders).Record(result)
			return ended, err
		})
	}
}

// timing is a sink that records the times at which chunks arrive. It is not safe for
// concurrent use.
type timing struct {
	sink    Sink
	arrived time.Time
	// timeToFirst and timeToLatest are the times from the arrival of the request to the
	// first and to the latest piece of the answer.
	timeToFirst  time.Duration
	timeToLatest time.Duration
	tokens       int
	gaps         []time.Duration
	longestGap   time.Duration
}

// Send records the time of a chunk and passes the chunk on.
func (timing *timing) Send(ctx context.Context, chunk call.Chunk) error {
	if chunk.Tokens > 0 {
		timing.record(time.Since(timing.arrived), chunk.Tokens)
	}
	return timing.sink.Send(ctx, chunk)
}

// record records that tokens arrived when elapsed had passed since the arrival of the request.
func (timing *timing) record(elapsed time.Duration, tokens int) {
	if timing.tokens == 0 {
		timing.timeToFirst = elapsed
	} else {
		timing.gaps = append(timing.gaps, (elapsed-timing.timeToLatest)/time.Duration(tokens))
	}
	timing.timeToLatest = elapsed
	timing.tokens += tokens
}

// replyTiming is a reply that records the times of the pieces of an opaque answer.
type replyTiming struct {
	Reply
	timing *timing
}

// Write records the time of a piece and passes the piece on.
func (replyTiming *replyTiming) Write(piece []byte) error {
	timing := replyTiming.timing
	elapsed := time.Since(timing.arrived)
	if timing.timeToFirst == 0 {
		timing.timeToFirst = elapsed
	} else {
		timing.longestGap = max(timing.longestGap, elapsed-timing.timeToLatest)
	}
	timing.timeToLatest = elapsed
	return replyTiming.Reply.Write(piece)
}
