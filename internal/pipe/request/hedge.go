package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
)

// StepHedge is the step of [Hedge] in decisions and errors.
const StepHedge = "hedge"

// errHedgeLost is the error of the sink of the attempt whose answer is not used.
var errHedgeLost = errors.New("another attempt of this request answered first")

// Hedge sends an idempotent request to a second server when the first one is slow
// to answer.
//
// It is placed between [Retry] and the choice of the server. A stream is hedged
// before its first token only. The attempt that sends the first chunk, or the whole
// answer of a plain service, wins, and the other attempt is cancelled.
func Hedge(retryStates *RetryStates) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, exchange Exchange) (Exchange, error) {
			delay, known := retryStates.State(exchange.Service.Name).Latency.HedgeDelay()
			if !known || exchange.Progress.Next() > 0 || !retry.MayHedge(retry.RepeatPolicyOf(exchange.Service, exchange.Request)) {
				return next.Handle(ctx, exchange)
			}
			race := race{next: next, exchange: exchange, winner: rcu.New(noWinner), won: make(chan struct{}), results: make(chan attemptResult, 2)}
			return race.run(ctx, retryStates, delay)
		})
	}
}

const noWinner = -1

// race is one request with up to two concurrent attempts, numbered 0 and 1 in the
// order of their start. The first one to send a chunk or to return an answer wins.
type race struct {
	next     Handler
	exchange Exchange
	// winner is the number of the attempt whose answer is used, or noWinner.
	winner *rcu.Cell[int]
	// won is closed when winner is set.
	won     chan struct{}
	results chan attemptResult
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	number   int
	exchange Exchange
	err      error
}

// run makes the first attempt and, if it has sent nothing after delay, the second one. It
// returns the result of the winner, or of both attempts if both failed.
func (race race) run(ctx context.Context, retryStates *RetryStates, delay time.Duration) (Exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	sentTo, cancelFirst := race.start(ctx, 0, race.exchange)
	defer cancelFirst()
	cancelLoser, won := func(int) {}, race.won
	var failed *attemptResult
	for running := 1; ; {
		select {
		case <-timer.C:
			second := race.hedgeExchange(sentTo.Load(), delay)
			if _, untriedCount := countUntried(second); untriedCount == 0 || race.winner.Load() != noWinner || !retryStates.spendHedge(second.Service.Name) {
				continue
			}
			_, cancelSecond := race.start(ctx, 1, second)
			defer cancelSecond()
			cancelLoser = loserCanceller(cancelFirst, cancelSecond)
			running++
		case <-won:
			won = nil // a nil channel is never ready, so that the loser is cancelled once
			cancelLoser(race.winner.Load())
		case result := <-race.results:
			running--
			winner := race.winner.Load()
			if winner == result.number || (result.err == nil && race.claim(result.number)) {
				return result.exchange.WithSink(race.exchange.Sink).WithSentTo(race.exchange.SentTo), result.err
			}
			if winner == noWinner {
				failed = mergeFailures(failed, result)
			}
			if running == 0 {
				return failed.exchange.WithSink(race.exchange.Sink).WithSentTo(race.exchange.SentTo), failed.err
			}
		}
	}
}

// start runs an attempt in a goroutine. It returns the cell in which [Relay] stores the
// name of the attempt's server, and the function that cancels the attempt.
func (race race) start(ctx context.Context, number int, exchange Exchange) (*rcu.Cell[string], context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	sentTo := rcu.New("")
	exchange = exchange.WithSentTo(sentTo).WithSink(SinkFunc(func(ctx context.Context, chunk call.Chunk) error {
		if !race.claim(number) {
			return errHedgeLost
		}
		return race.exchange.Sink.Send(ctx, chunk)
	}))
	go func() {
		result, err := race.next.Handle(ctx, exchange)
		race.results <- attemptResult{number: number, exchange: result, err: err}
	}()
	return sentTo, cancel
}

// hedgeExchange returns the exchange of the second attempt, which avoids the first
// attempt's server.
func (race race) hedgeExchange(server string, delay time.Duration) Exchange {
	exchange := race.exchange.WithDecision(Decision{
		At: time.Now(), Step: StepHedge, Reason: "Slow", Peer: server, Detail: fmt.Sprintf("no answer after %v", delay),
	})
	if server == "" {
		return exchange
	}
	return exchange.WithTriedServer(server)
}

// claim makes an attempt the winner if there is none, and reports whether this attempt
// is the winner.
func (race race) claim(number int) bool {
	// The first value reports whether this attempt is the winner, and the second whether it
	// has just become the winner.
	_, result := rcu.Apply(race.winner, func(winner int) (int, [2]bool) {
		if winner == noWinner {
			return number, [2]bool{true, true}
		}
		return winner, [2]bool{winner == number, false}
	})
	if result[1] {
		close(race.won)
	}
	return result[0]
}

// loserCanceller returns a function that cancels the attempt that is not the winner.
func loserCanceller(cancelFirst, cancelSecond context.CancelFunc) func(winner int) {
	return func(winner int) {
		if winner == 0 {
			cancelSecond()
			return
		}
		cancelFirst()
	}
}

// mergeFailures merges the results of two failed attempts.
//
// A failure takes precedence over a refusal, because the request as a whole may have
// run if one of its attempts may have run.
func mergeFailures(earlier *attemptResult, result attemptResult) *attemptResult {
	if earlier == nil {
		return &result
	}
	var earlierFailure, laterFailure *call.Failure
	isEarlierFailure := errors.As(earlier.err, &earlierFailure)
	isLaterFailure := errors.As(result.err, &laterFailure)
	merged := *earlier
	for _, server := range result.exchange.TriedServers {
		merged.exchange = merged.exchange.WithTriedServer(server)
	}
	switch {
	case !isLaterFailure:
	case !isEarlierFailure || retry.MoreSevere(earlierFailure, laterFailure) == laterFailure:
		merged.err = laterFailure
	}
	return &merged
}
