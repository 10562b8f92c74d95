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

// stormFaults are ways in which half of the servers fail for a while.
var stormFaults = []struct {
	name  string
	fail  func(*runner.Runner)
	every time.Duration
}{
	{"none", func(*runner.Runner) {}, time.Hour},
	{"refuse connections", (*runner.Runner).Crash, time.Hour},
	{"reset work in progress", func(runner *runner.Runner) { runner.Crash(); runner.Restart() }, 300 * time.Millisecond},
	{"stall", func(runner *runner.Runner) { runner.Slow(1000) }, time.Hour},
}

// Guards against retries and hedges that multiply the load of failing servers.
func TestHalfOfTheServersFailingBringsNoStorm(t *testing.T) {
	for _, c := range stormFaults {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newRecoveryFixture(t, 12, recoverySettings, retry.PolicyResume)
				ctx, stop := context.WithCancel(t.Context())
				go failHalf(ctx, fixture, c.fail, c.every)
				begin := time.Now()
				report := load.Run(t.Context(), load.Settings{Seed: 7, Duration: time.Minute, Mix: []load.Work{
					{Name: "plan", KeyHash: "h", Service: "menu", PerSecond: 10, Tokens: 40},
					{Name: "check", KeyHash: "h", Service: "status", PerSecond: 20},
				}}, []request.Handler{fixture})
				elapsed := time.Since(begin)
				stop()
				synctest.Wait()
				arrived, bound := 0, 0.0
				for _, samples := range report {
					arrived += samples.Answered + samples.Refused + samples.Failed
					bound += retry.BudgetShare*float64(samples.Answered) + retry.BudgetFloor*(1+elapsed.Seconds()/retry.BudgetWindow.Seconds())
					assert.Zero(t, samples.Wrong)
					assert.Zero(t, samples.Refused, "work that was sent is reported as refused")
				}
				t.Logf("arrived %d, sent %d, more than arrived %d of at most %.0f\n%v", arrived, fixture.sent.Load(), int(fixture.sent.Load())-arrived, bound, report)
				assert.LessOrEqual(t, float64(int(fixture.sent.Load())-arrived), bound)
				for id, finals := range fixture.finals.Load() {
					assert.Equal(t, 1, finals, id)
				}
			})
		})
	}
}

// failHalf makes every second server fail between 15 s and 35 s, and then restores it.
func failHalf(ctx context.Context, fixture *recoveryFixture, fail func(*runner.Runner), every time.Duration) {
	select {
	case <-time.After(15 * time.Second):
	case <-ctx.Done():
		return
	}
	end := time.After(20 * time.Second)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for running := true; running; {
		for i := 0; i < len(fixture.names); i += 2 {
			fail(fixture.group[fixture.names[i]])
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
		fixture.group[fixture.names[i]].Slow(1)
		fixture.group[fixture.names[i]].Restart()
	}
}

// Guards against work that must run at most once being sent after it may have run.
func TestWorkThatMustNotRepeatIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	for _, c := range stormFaults[1:] {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newRecoveryFixture(t, 6, recoverySettings, retry.PolicyResume)
				ctx, stop := context.WithCancel(t.Context())
				go failHalf(ctx, fixture, c.fail, c.every)
				report := load.Run(t.Context(), load.Settings{Seed: 3, Duration: 40 * time.Second, Mix: []load.Work{
					{Name: "book", KeyHash: "h", Service: "booking", PerSecond: 15, WithKey: true},
				}}, []request.Handler{fixture})
				stop()
				synctest.Wait()
				again := 0
				for id, tries := range fixture.failures.Load() {
					for _, ran := range tries[:len(tries)-1] {
						assert.Equal(t, call.RanNo, ran, id)
						again++
					}
				}
				t.Logf("sent again %d\n%v", again, report)
				if c.name == "refuse connections" {
					assert.Positive(t, again, "work that did not run is not sent again")
				}
			})
		})
	}
}
