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

// Guards against hedges of work that must not run twice, losers that run on, and answers of two tries mixed.
func TestSlowWorkIsHedgedOnlyIfItMayRunTwice(t *testing.T) {
	cases := []struct {
		service string
		hedged  bool
	}{{"menu", true}, {"status", true}, {"order", false}, {"booking", false}}
	for _, c := range cases {
		t.Run(c.service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const warm, measured = 60, 4
				fixture := newRecoveryFixture(t, 2, recoverySettings, retry.PolicyResume)
				// Four at a time, so that the successes of one window pay for all hedges below.
				for i := 0; i < warm; i += 4 {
					var group sync.WaitGroup
					for number := i; number < i+4; number++ {
						group.Go(func() { sendOne(t.Context(), t, fixture, c.service, number) })
					}
					group.Wait()
				}
				slow, fast := fixture.names[0], fixture.names[1]
				fixture.group[slow].Slow(100)
				server, _ := fixture.fleet.Load().Server(fast)
				server.Observation.Update(func(observation backend.Observation) backend.Observation {
					next, _ := observation.WithStart(time.Now(), 0, &atomic.Bool{})
					return next
				})
				fixture.sent.Store(0)
				for i := range measured {
					elapsed := sendOne(t.Context(), t, fixture, c.service, warm+i)
					synctest.Wait()
					assert.Zero(t, fixture.group[slow].Running(), "the loser runs on")
					if c.hedged {
						assert.Less(t, elapsed, 500*time.Millisecond)
					}
				}
				assert.Equal(t, c.hedged, fixture.sent.Load() > measured, "%d sent", fixture.sent.Load())
			})
		})
	}
}

// sendOne sends one request, checks its answer and returns the time it took.
func sendOne(ctx context.Context, t *testing.T, entry request.Handler, service string, number int) time.Duration {
	var text strings.Builder
	finals := 0
	next := call.Request{ID: fmt.Sprint(number), KeyHash: "h", Service: service, IdempotencyKey: fmt.Sprint(number), Arrived: time.Now()}
	if service == "menu" {
		next.Completion.Prompt = fmt.Sprintf("%d tokens=10", number)
	}
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		text.WriteString(chunk.Text)
		if chunk.Final {
			finals++
		}
		return nil
	})
	exchange, err := entry.Handle(ctx, request.Exchange{Request: next, Sink: sink})
	assert.NoError(t, err)
	if service == "menu" {
		assert.Equal(t, runner.Text(next.Completion.Prompt, 0, 10), text.String())
		assert.Equal(t, 1, finals)
	} else {
		assert.Equal(t, 200, exchange.Answer.Status)
	}
	return time.Since(next.Arrived)
}

// cutShort is an engine that ends its streams without an end marker at first, and repeats chunks out of order.
type cutShort struct{ tries int }

func (cutShort *cutShort) Complete(ctx context.Context, _ backend.Server, next call.Request, sink request.Sink) error {
	cutShort.tries++
	from, prompt := next.Completion.Resume.Tokens, next.Completion.Prompt
	for _, at := range []int{from + 2, from, from + 1, from + 2, from} {
		if err := sink.Send(ctx, call.Chunk{Offset: at, Tokens: 1, Text: runner.Text(prompt, at, at+1)}); err != nil {
			return err
		}
	}
	if cutShort.tries < 4 {
		return nil
	}
	return sink.Send(ctx, call.Chunk{Offset: from + 3, Final: true, Recomputed: from})
}

func (cutShort *cutShort) Do(context.Context, backend.Server, call.Request) (call.Answer, error) {
	return call.Answer{}, nil
}

// Guards against an answer without end marker that passes for complete, and
// against a request that fails when every server was tried once.
func TestAnswerWithoutEndMarkerGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRecoveryFixture(t, 2, recoverySettings, retry.PolicyResume)
		engine := &cutShort{}
		entry := request.Chain(request.Dispatch(engine, engine),
			request.Identify(fixture),
			request.Retry(fixture.recovery, fixture, fixture.random, retry.PolicyResume),
			request.Hedge(fixture.recovery),
			request.Choose(fixture.random),
			request.Relay(fixture.recovery))
		var text strings.Builder
		last := call.Chunk{}
		exchange, err := entry.Handle(t.Context(), request.Exchange{
			Request: call.Request{ID: "1", KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: "p"}},
			Sink: request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
				text.WriteString(chunk.Text)
				last = chunk
				return nil
			}),
		})
		assert.NoError(t, err)
		assert.Equal(t, runner.Text("p", 0, 12), text.String())
		assert.Equal(t, 4, engine.tries)
		assert.Equal(t, 3+6+9, exchange.RecomputedTokens)
		assert.Equal(t, call.Chunk{Offset: 12, Final: true, Recomputed: 18}, last)
	})
}
