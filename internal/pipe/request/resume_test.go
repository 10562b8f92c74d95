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

// reclaimNotice is the time between the notice of a reclaim and the end of the VMs.
const reclaimNotice = 5 * time.Second

// Guards against requests that are lost, answered twice or garbled when a
// failure domain is reclaimed, and against policies that recompute more than
// they say.
func TestReclaimOfAFailureDomainLosesNothing(t *testing.T) {
	mixed := []load.Work{
		{Name: "card", KeyHash: "h", Service: "menu", PerSecond: 15, Tokens: 40},
		{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 3, Tokens: 1000},
		{Name: "check", KeyHash: "h", Service: "status", PerSecond: 10},
	}
	recomputed := map[string]int{}
	var table strings.Builder
	fmt.Fprintf(&table, "%-22s %8s %6s %6s %10s %14s %10s %10s %10s\n", "policy", "answered", "sent", "cut", "recomputed", "engine time", "max gap", "plan p50", "plan p99")
	cases := []struct {
		name   string
		policy retry.ResumePolicy
		move   bool
		// perToken is the engine's time to compute a token again: as part of a
		// prompt after a resume, one by one after a restart.
		perToken time.Duration
		mix      []load.Work
		// slowest bounds the 99th percentile of a plan's whole time, which is 20 s
		// (long work only: 28 s) undisturbed.
		slowest time.Duration
	}{
		{"Move", retry.PolicyResume, true, recoverySettings.PromptToken, mixed, 23 * time.Second},
		{"Resume", retry.PolicyResume, false, recoverySettings.PromptToken, mixed, 23 * time.Second},
		{"Restart", retry.PolicyRestart, false, recoverySettings.AnswerToken, mixed, 45 * time.Second},
		// Few successes pay for retries while all work is long.
		{"Resume, long work only", retry.PolicyResume, false, recoverySettings.PromptToken, []load.Work{
			{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 3, Tokens: 1400},
		}, 32 * time.Second},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			fixture := newRecoveryFixture(t, 18, recoverySettings, c.policy)
			if c.move {
				fixture.entry = fixture.chain(c.policy, request.Move(fixture, fixture.group))
			}
			ctx, stop := context.WithCancel(t.Context())
			go reclaim(ctx, t, fixture, fixture.names[:6])
			report := load.Run(t.Context(), load.Settings{Seed: 11, Duration: 30 * time.Second, Mix: c.mix}, []request.Handler{fixture})
			stop()
			synctest.Wait()
			answered := 0
			for name, samples := range report {
				assert.Zero(t, samples.Refused+samples.Failed, "%s: lost", name)
				assert.Zero(t, samples.Wrong, "%s: garbled", name)
				answered += samples.Answered
				recomputed[c.name] += samples.Recomputed
			}
			for id, finals := range fixture.finals.Load() {
				assert.Equal(t, 1, finals, id)
			}
			plan := report["plan"]
			assert.Less(t, load.Quantile(plan.Total, 0.99), c.slowest, c.name)
			fmt.Fprintf(&table, "%-22s %8d %6d %6d %10d %14v %10v %10v %10v\n", c.name, answered, fixture.sent.Load(), fixture.cut.Load(),
				recomputed[c.name], time.Duration(recomputed[c.name])*c.perToken,
				load.Quantile(plan.Gaps, 1).Round(time.Millisecond), load.Quantile(plan.Total, 0.5).Round(time.Millisecond), load.Quantile(plan.Total, 0.99).Round(time.Millisecond))
		})
	}
	t.Log("\n" + table.String())
	assert.Positive(t, recomputed["Resume"], "no stream was cut off")
	assert.Positive(t, recomputed["Restart"], "no stream was cut off")
	assert.Less(t, recomputed["Move"], recomputed["Resume"]/10, "caches are not moved")
}

// reclaim takes the named servers away at 15 s, with notice.
func reclaim(ctx context.Context, t *testing.T, fixture *recoveryFixture, names []string) {
	if !after(ctx, 15*time.Second) {
		return
	}
	fixture.leave(t, names...)
	if !after(ctx, reclaimNotice) {
		return
	}
	for _, name := range names {
		fixture.group[name].Crash()
	}
}

func after(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// Guards against a stalled stream that hangs, and against recomputed tokens that are not counted.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newRecoveryFixture(t, 2, recoverySettings, retry.PolicyResume)
		const prompt = "stalling tokens=100"
		var text strings.Builder
		stalled := false
		sink := request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
			text.WriteString(chunk.Text)
			if chunk.Offset >= 40 && !stalled {
				stalled = true
				for _, name := range fixture.names {
					if fixture.group[name].Running() > 0 {
						fixture.group[name].Slow(1e6)
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

// brokenCopy is a cache client whose imports fail, and its exports too if so told.
type brokenCopy struct {
	runner.Runners
	export error
}

func (broken brokenCopy) Export(ctx context.Context, server backend.Server, request call.Request, tokens int) (call.KVCache, error) {
	if broken.export != nil {
		return call.KVCache{}, broken.export
	}
	return broken.Runners.Export(ctx, server, request, tokens)
}

func (brokenCopy) Import(context.Context, backend.Server, call.KVCache) error {
	return errors.New("the copy broke off")
}

// Guards against a stream that is lost, or cut off for nothing, when its cache cannot be copied.
func TestMoveWithoutCopyLosesNothing(t *testing.T) {
	cases := []struct {
		name   string
		export error
		moved  bool
	}{{"import fails", nil, true}, {"export fails", errors.New("not supported"), false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newRecoveryFixture(t, 2, recoverySettings, retry.PolicyResume)
				entry := fixture.chain(retry.PolicyResume, request.Move(fixture, brokenCopy{fixture.group, c.export}))
				const prompt = "moving tokens=300"
				var text strings.Builder
				exchange, err := entry.Handle(t.Context(), request.Exchange{
					Request: call.Request{ID: "1", KeyHash: "h", Service: "menu", Arrived: time.Now(), Completion: call.Completion{Prompt: prompt}},
					Sink: request.SinkFunc(func(_ context.Context, chunk call.Chunk) error {
						text.WriteString(chunk.Text)
						for _, name := range fixture.names {
							if chunk.Offset == 0 && fixture.group[name].Running() > 0 {
								fixture.leave(t, name)
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
