package request_test

import (
	"context"
	"errors"
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
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// reclaimNotice is the time from the notice of a reclaim to the termination of the VMs.
const reclaimNotice = 5 * time.Second

// Guards against requests that are lost, answered twice or garbled when a failure domain
// is reclaimed, against an unbounded delay of long answers, and against moves that
// recompute tokens although they copy the KV caches.
func TestReclaimOfAFailureDomainLosesNothing(t *testing.T) {
	mixedWork := []load.Work{
		{Name: "card", KeyHash: "h", Service: "menu", PerSecond: 15, Tokens: 40},
		{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 3, Tokens: 1000},
		{Name: "check", KeyHash: "h", Service: "status", PerSecond: 10},
	}
	recomputed := map[string]int{}
	var table strings.Builder
	fmt.Fprintf(&table, "%-22s %8s %10s %19s %17s %14s %10s %10s %10s\n", "policy", "answered", "calls sent", "recomputed requests", "recomputed tokens", "engine time", "max gap", "plan p50", "plan p99")
	cases := []struct {
		name   string
		policy retry.ResumePolicy
		move   bool
		// recomputeTime is the engine's time to recompute a token: as a prompt token after a
		// resume, and as an answer token after a restart.
		recomputeTime time.Duration
		mix           []load.Work
		// maxPlanTime bounds the 99th percentile of the total time of plans, which is 20 s
		// without a reclaim (28 s with long work only).
		maxPlanTime time.Duration
	}{
		{"Move", retry.PolicyResume, true, runnerSettings.PromptToken, mixedWork, 23 * time.Second},
		{"Resume", retry.PolicyResume, false, runnerSettings.PromptToken, mixedWork, 23 * time.Second},
		{"Restart", retry.PolicyRestart, false, runnerSettings.AnswerToken, mixedWork, 45 * time.Second},
		// If all work is long, few successes add to the retry budget.
		{"Resume, long work only", retry.PolicyResume, false, runnerSettings.PromptToken, []load.Work{
			{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 3, Tokens: 1400},
		}, 32 * time.Second},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			fixture := newRetryFixture(t, 18, runnerSettings, c.policy)
			if c.move {
				fixture.entry = fixture.chain(c.policy, request.Move(fixture, fixture.runners))
			}
			ctx, stop := context.WithCancel(t.Context())
			go reclaimRunners(ctx, t, fixture, fixture.names[:6])
			report := load.Run(t.Context(), load.Settings{Seed: 11, Duration: 30 * time.Second, Mix: c.mix}, []request.Handler{fixture})
			stop()
			synctest.Wait()
			answered := 0
			for name, samples := range report {
				assert.Zero(t, samples.Refused+samples.Failed, "%s: requests lost", name)
				assert.Zero(t, samples.Wrong, "%s: answers garbled", name)
				answered += samples.Answered
				recomputed[c.name] += samples.Recomputed
			}
			for id, endMarkers := range fixture.endMarkers.Load() {
				assert.Equal(t, 1, endMarkers, id)
			}
			plan := report["plan"]
			assert.Less(t, load.Quantile(plan.Total, 0.99), c.maxPlanTime, c.name)
			fmt.Fprintf(&table, "%-22s %8d %10d %19d %17d %14v %10v %10v %10v\n", c.name, answered, fixture.sentCalls.Load(), fixture.recomputedRequests.Load(),
				recomputed[c.name], time.Duration(recomputed[c.name])*c.recomputeTime,
				load.Quantile(plan.Gaps, 1).Round(time.Millisecond), load.Quantile(plan.Total, 0.5).Round(time.Millisecond), load.Quantile(plan.Total, 0.99).Round(time.Millisecond))
		})
	}
	t.Log("\n" + table.String())
	assert.Positive(t, recomputed["Resume"], "no stream was interrupted")
	assert.Positive(t, recomputed["Restart"], "no stream was interrupted")
	assert.Less(t, recomputed["Move"], recomputed["Resume"]/10, "KV caches were not copied")
}

// reclaimRunners marks the named servers as leaving after 15 s, and crashes them when the
// notice ends, unless ctx ends before.
func reclaimRunners(ctx context.Context, t *testing.T, fixture *retryFixture, names []string) {
	if !waitFor(ctx, 15*time.Second) {
		return
	}
	fixture.setLeaving(t, names...)
	if !waitFor(ctx, reclaimNotice) {
		return
	}
	for _, name := range names {
		fixture.runners[name].Crash()
	}
}

// waitFor waits for a duration, or returns false when ctx ends before.
func waitFor(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// Guards against a request that waits for a stalled stream instead of resuming at another
// server, and against recomputed tokens that are not counted.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRetryFixture(t, 2, runnerSettings, retry.PolicyResume)
		const prompt = "stalling tokens=100"
		var text strings.Builder
		stalled := false
		sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
			text.WriteString(chunk.Text)
			if chunk.Offset >= 40 && !stalled {
				stalled = true
				for _, name := range fixture.names {
					if fixture.runners[name].Running() > 0 {
						fixture.runners[name].Slow(1e6)
					}
				}
			}
			return nil
		})
		exchange, err := fixture.Handle(t.Context(), request.Exchange{Sink: sink, Request: call.Request{
			ID: "1", KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: prompt},
		}})
		require.NoError(t, err)
		assert.Equal(t, runner.Text(prompt, 0, 100), text.String())
		assert.Equal(t, 44, exchange.RecomputedTokens)
		assert.Len(t, exchange.TriedServers, 2)
		synctest.Wait()
	})
}

// failingCacheClient is a [request.KVCacheClient] whose imports always fail, and whose exports
// fail with exportErr unless that is nil.
type failingCacheClient struct {
	runner.Runners
	exportErr error
}

func (failingCacheClient failingCacheClient) Export(ctx context.Context, server backend.Server, request call.Request, tokens int) (call.KVCache, error) {
	if failingCacheClient.exportErr != nil {
		return call.KVCache{}, failingCacheClient.exportErr
	}
	return failingCacheClient.Runners.Export(ctx, server, request, tokens)
}

func (failingCacheClient) Import(context.Context, backend.Server, call.KVCache) error {
	return errors.New("copying the KV cache was interrupted")
}

// Guards against streams that are lost when the KV cache cannot be copied to the new server,
// and against streams that are interrupted although the cache cannot even be exported.
func TestMoveWithoutCopyLosesNothing(t *testing.T) {
	cases := []struct {
		name      string
		exportErr error
		moved     bool
	}{{"import fails", nil, true}, {"export fails", errors.New("not supported"), false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newRetryFixture(t, 2, runnerSettings, retry.PolicyResume)
				entry := fixture.chain(retry.PolicyResume, request.Move(fixture, failingCacheClient{fixture.runners, c.exportErr}))
				const prompt = "moving tokens=300"
				var text strings.Builder
				exchange, err := entry.Handle(t.Context(), request.Exchange{
					Request: call.Request{ID: "1", KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: prompt}},
					Sink: request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
						text.WriteString(chunk.Text)
						for _, name := range fixture.names {
							if chunk.Offset == 0 && fixture.runners[name].Running() > 0 {
								fixture.setLeaving(t, name)
							}
						}
						return nil
					}),
				})
				require.NoError(t, err)
				assert.Equal(t, runner.Text(prompt, 0, 300), text.String())
				assert.Equal(t, c.moved, exchange.RecomputedTokens > 0)
				assert.Equal(t, c.moved, len(exchange.TriedServers) > 1)
			})
		})
	}
}
