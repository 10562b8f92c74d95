package request_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// completion returns the exchange of a streamed request whose answer is appended to text.
func completion(id, prompt string, text *strings.Builder) request.Exchange {
	sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	return request.Exchange{Sink: sink, Request: call.Request{
		ID: id, KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: prompt},
	}}
}

// drippingClient is a client of servers of which the first one that is called stalls after some tokens, which arrive after
// a delay: it then sends drip once a second, and never ends.
type drippingClient struct {
	*retryFixture
	delay time.Duration
	drip  func(sent call.Chunk) call.Chunk
	// stalled is the name of the server that has stalled.
	stalled string
}

func (client *drippingClient) Complete(ctx context.Context, server backend.Server, callRequest call.Request, sink request.Sink) error {
	if client.stalled != "" {
		return client.retryFixture.Complete(ctx, server, callRequest, sink)
	}
	client.stalled = server.Name
	time.Sleep(client.delay)
	sent := call.Chunk{Tokens: 4, Text: runner.Text(callRequest.Completion.Prompt, 0, 4)}
	if err := sink.Send(ctx, sent); err != nil {
		return err
	}
	for {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := sink.Send(ctx, client.drip(sent)); err != nil {
			return err
		}
	}
}

// Guards against a stalled stream that lives for as long as its server sends something now and then that does not advance
// the answer: the request waited for its timeout, or for the timeout of a first token, in place of going on at another server.
func TestStreamThatDoesNotAdvanceIsAStall(t *testing.T) {
	empty := func(sent call.Chunk) call.Chunk { return call.Chunk{Offset: sent.End()} }
	repeated := func(sent call.Chunk) call.Chunk { return sent }
	cases := []struct {
		name  string
		delay time.Duration
		drip  func(sent call.Chunk) call.Chunk
	}{
		{"empty chunks", 0, empty},
		{"the same chunk again", 0, repeated},
		{"empty chunks after a first token that took its time", 300 * time.Millisecond, empty},
		{"the same chunk again after a first token that took its time", 300 * time.Millisecond, repeated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newRetryFixture(t, 2, runnerSettings, retry.PolicyResume)
				client := &drippingClient{retryFixture: fixture, delay: c.delay, drip: c.drip}
				entry := request.Chain(request.Dispatch(client, fixture),
					request.Identify(fixture),
					request.Retry(fixture.retryStates, fixture, fixture.random, retry.PolicyResume),
					request.Choose(fixture.random),
					request.Relay(fixture.retryStates))
				const prompt = "dripping tokens=20"
				var text strings.Builder
				startedAt := time.Now()
				exchange, err := entry.Handle(t.Context(), completion("1", prompt, &text))
				require.NoError(t, err)
				assert.Equal(t, runner.Text(prompt, 0, 20), text.String())
				assert.Len(t, exchange.TriedServers, 2)
				assert.Less(t, time.Since(startedAt), 2*retry.MinStallTimeout)
				synctest.Wait()
			})
		})
	}
}

// Guards against slow but sound streams that are cut: all servers of a service slow down, so that each chunk takes longer
// than the pause that counts as a stall among the streams before.
func TestSlowSoundStreamsAreNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := runnerSettings
		settings.ChunkTokens = 1
		fixture := newRetryFixture(t, 2, settings, retry.PolicyResume)
		for i := range 20 {
			var text strings.Builder
			_, err := fixture.Handle(t.Context(), completion(fmt.Sprint("before-", i), fmt.Sprintf("draft %d tokens=10", i), &text))
			require.NoError(t, err)
		}
		for _, name := range fixture.names {
			fixture.runners[name].Slow(125) // 2.5 s a token, in place of 20 ms
		}
		for i := range 8 {
			prompt := fmt.Sprintf("slow %d tokens=10", i)
			var text strings.Builder
			_, err := fixture.Handle(t.Context(), completion(fmt.Sprint("slow-", i), prompt, &text))
			require.NoError(t, err, "stream %d", i)
			assert.Equal(t, runner.Text(prompt, 0, 10), text.String())
		}
		synctest.Wait()
	})
}
