package request_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against hedges of work that must not run twice, against attempts that lose to
// another one but are not cancelled, and against answers that mix the chunks of two attempts.
func TestSlowWorkIsHedgedOnlyIfItMayRunTwice(t *testing.T) {
	cases := []struct {
		service string
		hedged  bool
	}{{"menu", true}, {"status", true}, {"order", false}, {"booking", false}}
	for _, c := range cases {
		t.Run(c.service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const warmUpRequests, measuredRequests = 60, 4
				fixture := newRetryFixture(t, 2, runnerSettings, retry.PolicyResume)
				// Four requests run concurrently, so that the successes within one window of the
				// retry budget pay for all hedges below.
				for i := 0; i < warmUpRequests; i += 4 {
					var requests sync.WaitGroup
					for number := i; number < i+4; number++ {
						requests.Go(func() { sendAndCheck(t.Context(), t, fixture, c.service, number) })
					}
					requests.Wait()
				}
				slow, fast := fixture.names[0], fixture.names[1]
				fixture.runners[slow].Slow(100)
				// The fast server gets a request in flight that does not end, so that the first
				// attempt of each request below is sent to the slow server.
				server, _ := fixture.fleet.Load().Server(fast)
				server.Observation.Update(func(observation backend.Observation) backend.Observation {
					next, _ := observation.WithStart(time.Now(), 0, &atomic.Bool{})
					return next
				})
				fixture.sentCalls.Store(0)
				for i := range measuredRequests {
					elapsed := sendAndCheck(t.Context(), t, fixture, c.service, warmUpRequests+i)
					synctest.Wait()
					assert.Zero(t, fixture.runners[slow].Running(), "the losing attempt still runs")
					if c.hedged {
						assert.Less(t, elapsed, 500*time.Millisecond)
					}
				}
				assert.Equal(t, c.hedged, fixture.sentCalls.Load() > measuredRequests, "%d calls sent", fixture.sentCalls.Load())
			})
		})
	}
}

// sendAndCheck sends one request, checks its answer and returns the time that it took.
func sendAndCheck(ctx context.Context, t *testing.T, entry request.Handler, service string, number int) time.Duration {
	var text strings.Builder
	endMarkers := 0
	next := call.Request{ID: fmt.Sprint(number), KeyHash: "h", Service: service, IdempotencyKey: fmt.Sprint(number), Arrived: time.Now()}
	if service == "menu" {
		next.Completion.Prompt = fmt.Sprintf("%d tokens=10", number)
	}
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		text.WriteString(chunk.Text)
		if chunk.Final {
			endMarkers++
		}
		return nil
	})
	exchange, err := entry.Handle(ctx, request.Exchange{Request: next, Sink: sink})
	assert.NoError(t, err)
	if service == "menu" {
		assert.Equal(t, runner.Text(next.Completion.Prompt, 0, 10), text.String())
		assert.Equal(t, 1, endMarkers)
	} else {
		assert.Equal(t, 200, exchange.Answer.Status)
	}
	return time.Since(next.Arrived)
}

// truncatingEngine is an engine whose first three streams end without an end marker, and
// which sends some chunks repeatedly and out of order.
type truncatingEngine struct{ attempts int }

func (truncatingEngine *truncatingEngine) Complete(ctx context.Context, _ backend.Server, next call.Request, sink request.Sink) error {
	truncatingEngine.attempts++
	resumeAt, prompt := next.Completion.Resume.Tokens, next.Completion.Prompt
	for _, offset := range []int{resumeAt + 2, resumeAt, resumeAt + 1, resumeAt + 2, resumeAt} {
		if err := sink.Send(ctx, call.Chunk{Offset: offset, Tokens: 1, Text: runner.Text(prompt, offset, offset+1)}); err != nil {
			return err
		}
	}
	if truncatingEngine.attempts < 4 {
		return nil
	}
	return sink.Send(ctx, call.Chunk{Offset: resumeAt + 3, Final: true, Recomputed: resumeAt})
}

func (truncatingEngine *truncatingEngine) Do(context.Context, backend.Server, call.Request) (call.Answer, error) {
	return call.Answer{}, nil
}

// Guards against an answer without an end marker that is treated as complete, and against
// a request that fails because every server was tried once.
func TestAnswerWithoutEndMarkerGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRetryFixture(t, 2, runnerSettings, retry.PolicyResume)
		engine := &truncatingEngine{}
		entry := request.Chain(request.Dispatch(engine, engine),
			request.Identify(fixture),
			request.Retry(fixture.retryStates, fixture, fixture.random, retry.PolicyResume),
			request.Hedge(fixture.retryStates),
			request.Choose(fixture.random),
			request.Relay(fixture.retryStates))
		var text strings.Builder
		lastChunk := call.Chunk{}
		exchange, err := entry.Handle(t.Context(), request.Exchange{
			Request: call.Request{ID: "1", KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: "p"}},
			Sink: request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
				text.WriteString(chunk.Text)
				lastChunk = chunk
				return nil
			}),
		})
		assert.NoError(t, err)
		assert.Equal(t, runner.Text("p", 0, 12), text.String())
		assert.Equal(t, 4, engine.attempts)
		assert.Equal(t, 3+6+9, exchange.RecomputedTokens)
		assert.Equal(t, call.Chunk{Offset: 12, Final: true, Recomputed: 18}, lastChunk)
	})
}
