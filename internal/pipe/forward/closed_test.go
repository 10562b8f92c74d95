package forward_test

import (
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
)

// closedFor returns the answer of a server that turns a call away and wants none for a time.
func closedFor(wait time.Duration) call.AnswerHead {
	return call.AnswerHead{Status: 503, NotExecuted: true, RetryAfter: wait}
}

// Guards against calls to a server that has asked for none for some time: more than two of them, first tries and retries
// together, break the users' bound.
func TestServerThatAsksForNoCallsGetsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 5 * time.Second
		servers := newStatedServers(map[string]call.AnswerHead{"s0": closedFor(wait)})
		require.NoError(t, servers.call(50))
		assert.Equal(t, 1, servers.calls["s0"])
		servers.heads["s0"] = closedFor(time.Second) // a shorter word that comes later
		for time.Sleep(time.Millisecond); servers.Now() < wait; time.Sleep(100 * time.Millisecond) {
			require.NoError(t, servers.call(10))
		}
		assert.Equal(t, 1, servers.calls["s0"], "until the end of the time")
		assert.Equal(t, []forward.NoticeKind{forward.NoticeClosed}, servers.notices)
		servers.heads["s0"] = call.AnswerHead{Status: 200}
		for _, other := range []string{"s1", "s2", "s3"} {
			servers.heads[other] = closedFor(wait)
		}
		time.Sleep(time.Second) // by which the return of the entries is spread at most
		_ = servers.call(50)    // the first ones meet the others
		assert.Greater(t, servers.calls["s0"], 1, "after it")
	})
}

// Guards against calls that are held until their deadline, or refused with a wrong time, while all servers want no calls.
func TestCallIsRefusedAtOnceWhileAllServersWantNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heads := map[string]call.AnswerHead{}
		for server, wait := range map[string]time.Duration{"s0": 4 * time.Second, "s1": 3 * time.Second, "s2": 2 * time.Second, "s3": 9 * time.Second} {
			heads[server] = closedFor(wait)
		}
		servers := newStatedServers(heads)
		_ = servers.call(20)
		assert.Equal(t, map[string]int{"s0": 1, "s1": 1, "s2": 1, "s3": 1}, servers.calls)
		time.Sleep(500 * time.Millisecond)
		startedAt := time.Now()
		var refusal *call.Refusal
		require.True(t, errors.As(servers.call(1), &refusal))
		assert.Zero(t, time.Since(startedAt))
		assert.Equal(t, call.ReasonNoBackend, refusal.Reason)
		assert.GreaterOrEqual(t, refusal.RetryAfter, 1500*time.Millisecond, "the first server takes calls again after 2 s")
		assert.LessOrEqual(t, refusal.RetryAfter, 2500*time.Millisecond)
	})
}

// Guards against calls to a server that has asked for none, after its registration was missing or malformed for a moment: what the entry
// knew of the server was dropped with the registration. It is dropped in the end.
func TestServerThatIsUnlistedForAMomentStaysClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 5 * time.Second
		servers := newStatedServers(map[string]call.AnswerHead{"s0": closedFor(wait)})
		time.Sleep(time.Second)
		require.NoError(t, servers.call(50))
		require.Equal(t, 1, servers.calls["s0"])
		all := servers.servers.All()
		without := maps.Clone(all)
		delete(without, "s0")
		servers.observations.MergeListing(without, servers.Now())
		time.Sleep(time.Second)
		servers.observations.MergeListing(all, servers.Now())
		require.NoError(t, servers.call(50))
		assert.Equal(t, 1, servers.calls["s0"], "listed again")
		s0 := all["s0"]
		servers.observations.MergeListing(without, servers.Now())
		time.Sleep(59 * time.Second)
		servers.observations.MergeListing(without, servers.Now())
		assert.Positive(t, servers.observations.View([]directory.Server{s0})[0].Observation.ClosedUntil(), "kept for a minute")
		time.Sleep(2 * time.Second)
		servers.observations.MergeListing(without, servers.Now())
		assert.Zero(t, servers.observations.View([]directory.Server{s0})[0].Observation.ClosedUntil(), "dropped after it")
	})
}
