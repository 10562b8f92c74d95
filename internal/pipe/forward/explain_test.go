package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Guards against explanations that use up a limit, are counted as calls or reach a server, and against ones that differ from what happens
// to the call.
func TestExplanationsChangeNothing(t *testing.T) {
	environment := newEnvironment(route.KindIdempotent)
	observations, limits := forward.NewObservations(), forward.NewLimits(environment)
	dependencies := environment.dependencies(environment)
	dependencies.Observations = observations
	delivery := forward.NewDelivery(dependencies)
	explainer := forward.NewExplainer(environment, limits, delivery)
	opaque := call.Opaque{Method: http.MethodPost, Target: "/x", Path: "/x", Host: "a", Prompt: call.Prompt{Input: 9000, Parts: []call.Part{{ID: "p", Tokens: 8000}, {ID: "own", Tokens: 1000}}}}
	incoming := call.Request{ID: "1"}.WithOpaque(opaque)
	var explained forward.Explanation
	for range 3000 {
		var found bool
		explained, found = explainer.Explain(incoming, "desk")
		require.True(t, found)
		require.Nil(t, explained.Refusal)
	}
	assert.Equal(t, "r", explained.Exchange.Route.Name)
	assert.Equal(t, "engines", explained.Service)
	assert.Len(t, explained.Candidates, 4)
	assert.Equal(t, explained.Choice.Server.ID, explained.Candidates[0].Server.ID)
	assert.InDelta(t, explained.Choice.Cost, explained.Candidates[0].Costs.Total(), 1e-6)
	admitted, asked := limits.Totals()
	assert.Empty(t, admitted)
	assert.Empty(t, asked)
	assert.Empty(t, observations.Running())
	assert.Empty(t, environment.sent)
	assert.Empty(t, environment.demand.TokensPerSecond())

	real := incoming
	real.Arrived, real.Opaque.Key = time.Now(), "k"
	_, err := request.Chain(delivery, forward.Match(environment), limits.Filter()).Handle(t.Context(), request.Exchange{Reply: environment, Request: real})
	require.NoError(t, err)
	assert.Equal(t, explained.Choice.Server.ID, environment.sentTo[0])

	_, found := explainer.Explain(incoming, "nobody")
	assert.False(t, found)
	unknown := incoming
	unknown.Opaque.Host = "b"
	explained, _ = explainer.Explain(unknown, "desk")
	assert.Equal(t, call.ReasonUnknownRoute, explained.Refusal.Reason)
	environment.servers = environment.servers.WithLeaving("s0", 1, 0).WithLeaving("s1", 1, 0).WithLeaving("s2", 1, 0).WithLeaving("s3", 1, 0)
	explained, _ = explainer.Explain(incoming, "desk")
	assert.Equal(t, call.ReasonNoBackend, explained.Refusal.Reason)
}
