package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/attempt"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
)

// Guards against work that runs twice, and against a refusal of work that has run.
func TestVerdictsFollowWhatMayHaveRun(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	unsent := &call.Failure{Ran: call.RanNot, Cause: call.CauseConnect}
	busy := &call.Failure{Ran: call.RanNot, Cause: call.CauseBusy}
	reset := &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset}
	gone := &call.Failure{Ran: call.RanNot, Cause: call.CauseCancelled}
	again, refuse, fail := attempt.VerdictRetry, attempt.VerdictRefuse, attempt.VerdictFail
	cases := []struct {
		name     string
		kind     route.Kind
		attempts int
		left     time.Duration
		failures []*call.Failure
		want     []attempt.Verdict
	}{
		{"an order that was not sent goes elsewhere", route.KindNonIdempotent, 1, time.Second, []*call.Failure{unsent, unsent}, []attempt.Verdict{again, again}},
		{"an order that a server declined goes elsewhere once", route.KindNonIdempotent, 1, time.Second, []*call.Failure{busy, busy}, []attempt.Verdict{again, refuse}},
		{"an order that may have run ends", route.KindNonIdempotent, 3, time.Second, []*call.Failure{reset}, []attempt.Verdict{fail}},
		{"an order that may have run after it was not sent ends", route.KindNonIdempotent, 3, time.Second, []*call.Failure{unsent, reset}, []attempt.Verdict{again, fail}},
		{"a lookup is repeated within its attempts", route.KindIdempotent, 2, time.Second, []*call.Failure{reset, reset}, []attempt.Verdict{again, fail}},
		{"a lookup that may have run is never refused", route.KindIdempotent, 3, time.Second, []*call.Failure{reset, busy, busy}, []attempt.Verdict{again, again, fail}},
		{"a stream that cannot be resumed ends", route.KindStream, 2, time.Second, []*call.Failure{reset}, []attempt.Verdict{fail}},
		{"no time is left", route.KindIdempotent, 2, time.Millisecond, []*call.Failure{unsent}, []attempt.Verdict{refuse}},
		{"the caller left", route.KindIdempotent, 2, time.Second, []*call.Failure{gone}, []attempt.Verdict{refuse}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := attempt.New(route.Route{Kind: c.kind, Attempts: c.attempts}, now.Add(c.left))
			for i, failure := range c.failures {
				var verdict attempt.Verdict
				state, verdict = state.WithFailure(failure, now)
				assert.Equal(t, c.want[i], verdict, "failure %d", i)
			}
		})
	}
}
