package forward_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
)

// Guards against failures at a server that do not say at which one and in which step, as those in the body of an answer did.
func TestFailureNamesItsServerAndStep(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	reset := unframed(event)
	reset.cut = true
	cases := map[string]struct {
		kind  route.Kind
		first response
	}{
		"bytes that are no event":         {route.KindStream, unframed(event + "\x8f\n\n")},
		"a stream that breaks off":        {route.KindStream, reset},
		"a stream that ends in an event":  {route.KindStream, unframed(event + "id: 2\nda")},
		"a plain answer that breaks off":  {route.KindNonIdempotent, response{head: call.AnswerHead{Status: 200}, body: "a", cut: true}},
		"a large answer that breaks off":  {route.KindNonIdempotent, response{head: call.AnswerHead{Status: 200, Length: 1 << 20}, body: "a", cut: true}},
		"a success without its signature": {route.KindNonIdempotent, response{head: call.AnswerHead{Status: 200, Unsigned: true}}},
	}
	for name, c := range cases {
		environment := newEnvironment(c.kind, c.first)
		if c.kind == route.KindStream {
			environment.withoutResume()
		}
		var failure *call.Failure
		require.ErrorAs(t, environment.handle(nil), &failure, name)
		assert.Equal(t, environment.sentTo[0], failure.Peer, name)
		assert.Equal(t, forward.StepDeliver, failure.Step, name)
		assert.Contains(t, failure.Error(), forward.StepDeliver+" "+failure.Peer+": ", name)
		failed := environment.decisions[2] // after those of the limit and of the choice
		assert.Equal(t, string(failure.Cause)+string(call.RanUnknown)+" "+failure.Peer, failed.Reason+" "+failed.Peer, name)
	}
}

// Guards against a call that no further server takes after one may have run it, and whose failure does not name that one.
func TestFailureWithoutAnotherServerNamesTheOneThatRan(t *testing.T) {
	environment := newEnvironment(route.KindStream, unframed("id: 1\ndata: a\n\nid: 2\nda"))
	only := environment.servers.All()["s0"]
	environment.servers = directory.Servers{}.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: 1, Value: []directory.Server{only}})
	environment.script[0].head.Leaving = true
	var failure *call.Failure
	require.True(t, errors.As(environment.handle(nil), &failure))
	assert.Equal(t, "s0", failure.Peer)
	assert.Contains(t, failure.Detail, "no backend server")
}

// Guards against calls whose log does not say, in order, which server failed and what the entry did next: after which event it resumed
// the stream and where, that it broke the caller's answer off, or what it answered instead.
func TestDecisionsTellWhatFollowedAFailure(t *testing.T) {
	const first, second, garbage = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "\x8f\n\n"
	plain := func(status int) response { return response{head: call.AnswerHead{Status: status}, body: "no"} }
	unsent := response{failure: &call.Failure{Ran: call.RanNo, Cause: call.CauseConnect, Step: "send"}}
	lost := response{failure: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "send"}}
	cases := []struct {
		name     string
		kind     route.Kind
		attempts int
		script   []response
		// want has $0 and $1 for the servers of the first and second attempt, and "sent" for the decisions that choose them.
		want []string
	}{
		{
			"resumed", route.KindStream, 2,
			[]response{unframed(first + garbage), unframed(second)},
			[]string{"sent $0", "deliver MalformedUnknown $0", "sent $1", `deliver Resumed $1 after event "1"`, "deliver EndedWithConnection $1"},
		},
		{
			"sent again before the first event, of which the caller has nothing", route.KindStream, 2,
			[]response{unframed(garbage), unframed(first)},
			[]string{"sent $0", "deliver MalformedUnknown $0", "sent $1", "deliver EndedWithConnection $1"},
		},
		{
			"broken off", route.KindStream, 2,
			[]response{unframed(first + garbage), unframed(second + garbage)},
			[]string{"sent $0", "deliver MalformedUnknown $0", "sent $1", `deliver Resumed $1 after event "1"`, "deliver MalformedUnknown $1", `deliver BrokenOff $1 after event "2"`},
		},
		{
			"failed", route.KindNonIdempotent, 1,
			[]response{lost},
			[]string{"sent $0", "send ResetUnknown $0", "deliver Failed $0 Reset"},
		},
		{
			"failure status passed on", route.KindIdempotent, 2,
			[]response{plain(500), lost},
			[]string{"sent $0", "deliver StatusUnknown $0", "sent $1", "send ResetUnknown $1", "deliver StatusPassedOn  500"},
		},
		{
			"sent again", route.KindNonIdempotent, 1,
			[]response{unsent},
			[]string{"sent $0", "send ConnectNotRun $0", "sent $1"},
		},
	}
	for _, c := range cases {
		environment := newEnvironment(c.kind, c.script...)
		if c.kind == route.KindStream {
			environment.withAttempts(c.attempts)
		}
		_ = environment.handle(nil)
		servers := []string{}
		for i, server := range environment.sentTo {
			servers = append(servers, fmt.Sprint("$", i), server)
		}
		decisions := environment.decisions[1:] // after that of the limit
		require.Len(t, decisions, len(c.want), "%s: %v", c.name, decisions)
		for i, want := range c.want {
			got := decisions[i].Step + " " + decisions[i].Reason + " " + decisions[i].Peer + " " + decisions[i].Detail
			if placed, ok := strings.CutPrefix(want, "sent "); ok {
				assert.Equal(t, strings.NewReplacer(servers...).Replace(placed), decisions[i].Peer, "%s: %s", c.name, got)
				continue
			}
			assert.Contains(t, got, strings.NewReplacer(servers...).Replace(want), c.name)
		}
	}
}

// Guards against a call that is refused, or whose caller has left, and whose log does not say so.
func TestDecisionsTellWhyACallEndedWithoutAnAnswer(t *testing.T) {
	last := func(environment *environment) string {
		decision := environment.decisions[len(environment.decisions)-1]
		return decision.Reason + " " + decision.Detail
	}
	refused := newEnvironment(route.KindNonIdempotent)
	refused.servers = directory.Servers{}
	assert.Equal(t, "refused NoBackend", outcome(refused.handle(nil)))
	assert.Equal(t, "Refused NoBackend", last(refused))

	left := newEnvironment(route.KindStream, unframed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	left.writeErr = errors.New("broken pipe")
	require.EqualError(t, left.handle(nil), "broken pipe")
	assert.Equal(t, "CallerLeft before the first event", last(left))
}

// Guards against failed attempts that are counted for no server or for another one, or only if the call fails in the end, and against
// callers that leave and are counted as failures of a server.
func TestEachFailedAttemptIsCountedAtItsServer(t *testing.T) {
	const first, second, garbage = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "\x8f\n\n"
	failed := func(cause call.Cause, ran call.Ran) response {
		return response{failure: &call.Failure{Ran: ran, Cause: cause, Step: "send"}}
	}
	declined := response{head: call.AnswerHead{Status: 503, NotExecuted: true}}
	status := response{head: call.AnswerHead{Status: 500}, body: "no"}
	cases := []struct {
		name   string
		kind   route.Kind
		script []response
		want   []call.Cause
	}{
		{"garbage, then resumed", route.KindStream, []response{unframed(first + garbage), unframed(second)}, []call.Cause{call.CauseMalformed}},
		{"twice garbage", route.KindStream, []response{unframed(garbage), unframed(garbage)}, []call.Cause{call.CauseMalformed, call.CauseMalformed}},
		{"not reached, then answered", route.KindNonIdempotent, []response{failed(call.CauseConnect, call.RanNo)}, []call.Cause{call.CauseConnect}},
		{"busy, then reset", route.KindNonIdempotent, []response{declined, failed(call.CauseReset, call.RanUnknown)}, []call.Cause{call.CauseBusy, call.CauseReset}},
		{"timeout", route.KindNonIdempotent, []response{failed(call.CauseTimeout, call.RanUnknown)}, []call.Cause{call.CauseTimeout}},
		{"status, then answered", route.KindIdempotent, []response{status}, []call.Cause{call.CauseStatus}},
		{"status that is passed on", route.KindNonIdempotent, []response{status}, []call.Cause{call.CauseStatus}},
		{"the caller left", route.KindNonIdempotent, []response{failed(call.CauseCancelled, call.RanUnknown)}, nil},
		{"answered", route.KindNonIdempotent, nil, nil},
	}
	for _, c := range cases {
		environment := newEnvironment(c.kind, c.script...)
		_ = environment.handle(nil)
		var want []string
		for i, cause := range c.want {
			want = append(want, environment.sentTo[i]+" "+string(cause))
		}
		assert.Equal(t, want, environment.failures, c.name)
	}
}
