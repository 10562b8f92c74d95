package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Guards against calls that run twice, and against a refusal, which promises that
// the call did not run, of a call that may have.
func TestVerdictsFollowWhatMayHaveRun(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	unsent := &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect}
	busy := &call.Failure{Ran: call.RanNo, Cause: call.CauseBusy}
	reset := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}
	cancelled := &call.Failure{Ran: call.RanNo, Cause: call.CauseCancelled}
	retry, refuse, fail := attempt.VerdictRetry, attempt.VerdictRefuse, attempt.VerdictFail
	cases := []struct {
		name     string
		kind     route.Kind
		attempts int
		timeLeft time.Duration
		failures []*call.Failure
		want     []attempt.Verdict
	}{
		{"non-idempotent, not sent: retried", route.KindNonIdempotent, 1, time.Second, []*call.Failure{unsent, unsent}, []attempt.Verdict{retry, retry}},
		{"non-idempotent, declined by a server: retried once", route.KindNonIdempotent, 1, time.Second, []*call.Failure{busy, busy}, []attempt.Verdict{retry, refuse}},
		{"non-idempotent, may have run: fails", route.KindNonIdempotent, 3, time.Second, []*call.Failure{reset}, []attempt.Verdict{fail}},
		{"non-idempotent, not sent and then may have run: fails", route.KindNonIdempotent, 3, time.Second, []*call.Failure{unsent, reset}, []attempt.Verdict{retry, fail}},
		{"idempotent: retried within its attempts", route.KindIdempotent, 2, time.Second, []*call.Failure{reset, reset}, []attempt.Verdict{retry, fail}},
		{"idempotent, may have run: never refused", route.KindIdempotent, 3, time.Second, []*call.Failure{reset, busy, busy}, []attempt.Verdict{retry, retry, fail}},
		{"stream that cannot be resumed: fails", route.KindStream, 2, time.Second, []*call.Failure{reset}, []attempt.Verdict{fail}},
		{"too little time before the deadline", route.KindIdempotent, 2, time.Millisecond, []*call.Failure{unsent}, []attempt.Verdict{refuse}},
		{"cancelled by the caller", route.KindIdempotent, 2, time.Second, []*call.Failure{cancelled}, []attempt.Verdict{refuse}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := attempt.New(route.Route{Kind: c.kind, Attempts: c.attempts}, now.Add(c.timeLeft))
			for i, failure := range c.failures {
				var verdict attempt.Verdict
				state, verdict = state.WithFailure(failure, now)
				assert.Equal(t, c.want[i], verdict, "failure %d", i)
			}
		})
	}
}
