package forward_test

import (
	"errors"
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
