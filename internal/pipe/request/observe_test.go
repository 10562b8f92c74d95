package request_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against servers that go on being chosen although their answers are garbage, and against failures that are due to the request
// or its caller being counted against the server.
func TestFailuresDueToTheServerCountAgainstIt(t *testing.T) {
	cases := []struct {
		name    string
		service string
		failure call.Failure
		counts  bool
	}{
		{"garbage of an engine", "menu", call.Failure{Cause: call.CauseMalformed, Ran: call.RanUnknown}, true},
		{"chunk of an engine that does not fit the answer", "menu", call.Failure{Cause: call.CauseMalformed, Ran: call.RanYes}, true},
		{"garbage of a plain service", "status", call.Failure{Cause: call.CauseMalformed, Ran: call.RanUnknown}, true},
		{"too large an answer of a plain service", "status", call.Failure{Cause: call.CauseMalformed, Ran: call.RanYes}, false},
		{"reset", "menu", call.Failure{Cause: call.CauseReset, Ran: call.RanUnknown}, true},
		{"error of the request", "menu", call.Failure{Cause: call.CauseStatus, Ran: call.RanUnknown}, false},
		{"caller that left", "menu", call.Failure{Cause: call.CauseCancelled, Ran: call.RanUnknown}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := config.Set{}.WithChange(config.Change{
				Revision: 1,
				Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}},
				Services: []config.Service{
					{Name: "menu", Protocol: config.ProtocolEngine, TimeoutMs: 1000},
					{Name: "status", Protocol: config.ProtocolPlain, Repeat: config.RepeatIdempotent, TimeoutMs: 1000},
				},
				Backends: []config.Backend{{Name: "s1", Address: "s1", Slots: 8}},
			})
			fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
			require.NoError(t, err)
			fails := request.HandlerFunc(func(_ context.Context, exchange request.Exchange) (request.Exchange, error) {
				return exchange, &c.failure
			})
			path := request.Chain(fails, request.Identify(fixedView{request.View{Config: set, Fleet: fleet}}), request.Choose(globalRand{}))
			_, err = path.Handle(t.Context(), request.Exchange{Request: call.Request{KeyHash: "h", Service: c.service, Arrived: time.Now()}})
			require.ErrorIs(t, err, &c.failure)
			server, _ := fleet.Server("s1")
			assert.Equal(t, c.counts, server.Observation.Load().Slowdown(time.Now()) > 1)
		})
	}
}
