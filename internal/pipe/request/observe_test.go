package request_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/retry"
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

// garblingClient is a client of two engines that take the same time. The one named "faulty" sends garbage after its first chunk.
type garblingClient struct{ request.ServiceClient }

func (garblingClient) Complete(ctx context.Context, server backend.Server, _ call.Request, sink request.Sink) error {
	<-time.After(20 * time.Millisecond)
	if err := sink.Send(ctx, call.Chunk{Tokens: 1, Text: "a "}); err != nil {
		return err
	}
	<-time.After(20 * time.Millisecond)
	if server.Name == "faulty" {
		return &call.Failure{Cause: call.CauseMalformed, Ran: call.RanUnknown, Peer: server.Name}
	}
	return sink.Send(ctx, call.Chunk{Offset: 1, Tokens: 1, Text: "b ", Final: true, FinishReason: "stop"})
}

// Guards against requests that begin at an engine right after it sent garbage, while a sound one is free.
func TestRequestsAfterGarbageBeginElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := config.Set{}.WithChange(config.Change{
			Revision: 1,
			Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}},
			Services: []config.Service{{Name: "menu", Protocol: config.ProtocolEngine, TimeoutMs: 5000}},
			Backends: []config.Backend{{Name: "faulty", Address: "a", Slots: 8}, {Name: "sound", Address: "b", Slots: 8}},
		})
		fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
		require.NoError(t, err)
		views, retryStates, random := fixedView{request.View{Config: set, Fleet: fleet}}, request.NewRetryStates(), rand.New(rand.NewPCG(1, 1))
		path := request.Chain(request.Dispatch(garblingClient{}, garblingClient{}), request.Identify(views),
			request.Retry(retryStates, views, random, retry.PolicyResume), request.Choose(random), request.Relay(retryStates))
		failedAt := 0
		for number := range 12 {
			work := call.Request{KeyHash: "h", Service: "menu", Arrived: time.Now()}
			// Different prompts, since an engine that has a prompt cached is preferred.
			work.Completion = call.Completion{Model: "m", Prompt: fmt.Sprint("prompt ", number)}
			discard := request.SinkFunc(func(context.Context, call.Chunk) error { return nil })
			result, err := path.Handle(t.Context(), request.Exchange{Request: work, Sink: discard})
			require.NoError(t, err)
			if slices.Contains(result.TriedServers, "faulty") {
				failedAt++
				assert.Equal(t, []string{"faulty", "sound"}, result.TriedServers)
			}
		}
		assert.Equal(t, 1, failedAt, "requests of 12 that began at the faulty engine")
	})
}
