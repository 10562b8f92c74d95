package request_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// serverFaults are the ways in which half of the servers fail for a while. Each fault is
// injected once per interval.
var serverFaults = []struct {
	name     string
	inject   func(*runner.Runner)
	interval time.Duration
}{
	{"none", func(*runner.Runner) {}, time.Hour},
	{"refuse connections", (*runner.Runner).Crash, time.Hour},
	{"reset work in progress", func(runner *runner.Runner) { runner.Crash(); runner.Restart() }, 300 * time.Millisecond},
	{"stall", func(runner *runner.Runner) { runner.Slow(1000) }, time.Hour},
}

// Guards against retry storms: retries and hedges that multiply the load when servers fail.
func TestHalfOfTheServersFailingBringsNoStorm(t *testing.T) {
	t.Parallel()
	for _, c := range serverFaults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fixture := newRetryFixture(t, 12, runnerSettings, retry.PolicyResume)
				ctx, stop := context.WithCancel(t.Context())
				go injectIntoHalf(ctx, fixture, c.inject, c.interval)
				begin := time.Now()
				report := load.Run(t.Context(), load.Settings{Seed: 7, Duration: time.Minute, Mix: []load.Work{
					{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 10, Tokens: 40},
					{Name: "check", KeyHash: "h", Service: "status", PerSecond: 20},
				}}, []request.Handler{fixture})
				elapsed := time.Since(begin)
				stop()
				synctest.Wait()
				arrived, maxExtra := 0, 0.0
				for _, samples := range report {
					arrived += samples.Answered + samples.Refused + samples.Failed
					maxExtra += retry.BudgetShare*float64(samples.Answered) + retry.BudgetFloor*(1+elapsed.Seconds()/retry.BudgetWindow.Seconds())
					assert.Zero(t, samples.Wrong)
					assert.Zero(t, samples.Refused, "requests that were sent must not be reported as refused")
				}
				t.Logf("requests %d, calls sent %d, calls beyond the requests %d of at most %.0f\n%v", arrived, fixture.sentCalls.Load(), int(fixture.sentCalls.Load())-arrived, maxExtra, report)
				assert.LessOrEqual(t, float64(int(fixture.sentCalls.Load())-arrived), maxExtra)
				for id, endMarkers := range fixture.endMarkers.Load() {
					assert.Equal(t, 1, endMarkers, id)
				}
			})
		})
	}
}

// injectIntoHalf injects a fault into every second server once per interval from 15 s to
// 35 s, and then restores these servers.
func injectIntoHalf(ctx context.Context, fixture *retryFixture, inject func(*runner.Runner), interval time.Duration) {
	select {
	case <-time.After(15 * time.Second):
	case <-ctx.Done():
		return
	}
	end := time.After(20 * time.Second)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for running := true; running; {
		for i := 0; i < len(fixture.names); i += 2 {
			inject(fixture.runners[fixture.names[i]])
		}
		select {
		case <-ticker.C:
		case <-end:
			running = false
		case <-ctx.Done():
			return
		}
	}
	for i := 0; i < len(fixture.names); i += 2 {
		fixture.runners[fixture.names[i]].Slow(1)
		fixture.runners[fixture.names[i]].Restart()
	}
}

// Guards against work that must run at most once but is sent again after it may have run.
func TestWorkThatMustNotRepeatIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	t.Parallel()
	for _, c := range serverFaults[1:] {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fixture := newRetryFixture(t, 6, runnerSettings, retry.PolicyResume)
				ctx, stop := context.WithCancel(t.Context())
				go injectIntoHalf(ctx, fixture, c.inject, c.interval)
				report := load.Run(t.Context(), load.Settings{Seed: 3, Duration: 40 * time.Second, Mix: []load.Work{
					{Name: "book", KeyHash: "h", Service: "booking", PerSecond: 15, WithKey: true},
				}}, []request.Handler{fixture})
				stop()
				synctest.Wait()
				resent := 0
				for id, attemptsRan := range fixture.ranByRequest.Load() {
					for _, ran := range attemptsRan[:len(attemptsRan)-1] {
						assert.Equal(t, call.RanNo, ran, id)
						resent++
					}
				}
				t.Logf("calls sent again: %d\n%v", resent, report)
				if c.name == "refuse connections" {
					assert.Positive(t, resent, "work that did not run has to be sent again")
				}
			})
		})
	}
}
