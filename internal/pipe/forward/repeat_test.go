package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// losingServers run each call and lose its answer, on a connection that has carried an earlier call.
type losingServers struct {
	*environment
	// arrivals is the number of times that a call arrived.
	arrivals int
}

func (servers *losingServers) Open(_ context.Context, server directory.Server, _ call.Request, repeat func() bool) (forward.Answer, *call.Failure) {
	servers.arrivals++
	if repeat != nil && repeat() {
		servers.arrivals++
	}
	return nil, &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Peer: server.ID}
}

// Guards against servers that get more repeated calls than the retry budget allows while they lose their answers: calls
// that were sent again on a new connection to the same server were not charged. Calls that may run only once arrive once.
func TestRepeatsOfLostCallsStayWithinTheBudget(t *testing.T) {
	const calls, floor = 300, 10.0
	for _, kind := range []route.Kind{route.KindIdempotent, route.KindStream, route.KindNonIdempotent} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				servers := &losingServers{environment: newEnvironment(kind)}
				dependencies := servers.dependencies(servers)
				dependencies.RetryBudgets = forward.NewRetryBudgets(floor)
				path := request.Chain(forward.NewDelivery(dependencies), forward.Match(servers))
				for range calls {
					opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k"}
					_, err := path.Handle(t.Context(), request.Exchange{Reply: servers, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
					assert.Error(t, err)
					time.Sleep(10 * time.Millisecond)
				}
				repeats := servers.arrivals - calls
				if kind == route.KindNonIdempotent {
					assert.Zero(t, repeats)
					return
				}
				assert.Positive(t, repeats)
				assert.LessOrEqual(t, float64(repeats), retry.BudgetShare*calls+floor*(1+calls*0.01/retry.BudgetWindow.Seconds()))
			})
		})
	}
}
