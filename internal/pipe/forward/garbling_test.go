package forward_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// chosen sends one stream after another through one delivery, all with the same shared parts in their prompts, and returns the
// decision with which each server was chosen.
func (environment *environment) chosen(count int) []request.Decision {
	path := request.Chain(environment.delivery(), forward.Match(environment))
	prompt := call.Prompt{Input: 9000, Parts: []call.Part{{ID: "t", Tokens: 2500}, {ID: "shared", Tokens: 3800}, {ID: "own", Tokens: 2700}}}
	var decisions []request.Decision
	for range count {
		opaque := call.Opaque{Method: "POST", Target: "/x", Path: "/x", Host: "a", Key: "k", Body: []byte("b"), Prompt: prompt}
		ended, _ := path.Handle(context.Background(), request.Exchange{Reply: environment, Request: call.Request{ID: "1", Arrived: time.Now(), Opaque: opaque}})
		for _, decision := range ended.Decisions {
			switch placement.Reason(decision.Reason) {
			case placement.ReasonCacheAffinity, placement.ReasonLeastCost, placement.ReasonGarbling:
				decisions = append(decisions, decision)
			}
		}
	}
	return decisions
}

// Guards against calls that go on to a server whose first answer was garbage, without a trace of that in the log, and against a
// server that loses its calls by one malformed answer after ten sound ones.
func TestServerIsPassedOverForThePartOfItsAnswersThatAreMalformed(t *testing.T) {
	sound, garbage := unframed("id: 1\ndata: a\n\n"), unframed("id: 1\ndata: a\n\n\x00\x8f\n\n")

	first := newEnvironment(route.KindStream, garbage, sound).withoutResume().chosen(2)
	assert.Len(t, first, 2)
	assert.Equal(t, string(placement.ReasonCacheAffinity), first[0].Reason)
	assert.NotEqual(t, first[0].Peer, first[1].Peer)
	assert.Equal(t, "passed over "+first[0].Peer+", since about 22% of its answers are malformed", first[1].Detail)

	script := []response{}
	for range 10 {
		script = append(script, sound)
	}
	known := newEnvironment(route.KindStream, append(script, garbage, sound)...).withoutResume().chosen(12)
	assert.Len(t, known, 12)
	assert.Equal(t, known[0].Peer, known[11].Peer)
	assert.Equal(t, string(placement.ReasonCacheAffinity), known[11].Reason)
}
