package load_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/backend"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/load"
	"github.com/rosemaryspar/rosemaryspar/internal/fake/runner"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// random draws from the global source of math/rand/v2, which is safe for concurrent use.
type random struct{}

func (random) IntN(n int) int { return rand.IntN(n) }

// fixedView provides the same view to all requests of the test.
type fixedView struct{ view request.View }

func (fixedView fixedView) View() request.View { return fixedView.view }

// Guards against a load report that omits requests, and against a request path that alters answers.
func TestRunChecksEveryAnswerOfThePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runners := runner.Runners{}
		change := config.Change{
			Revision: 1,
			Accounts: []config.Account{{Name: "desk", KeyHash: "h", Weight: 1}},
			Services: []config.Service{
				{Name: "assistant", Protocol: config.ProtocolEngine, Selector: "role=assistant"},
				{Name: "stock", Protocol: config.ProtocolPlain, Selector: "role=stock", Repeat: config.RepeatIdempotent},
			},
		}
		for i := range 3 {
			for _, role := range []string{"assistant", "stock"} {
				name := fmt.Sprintf("%s-%d", role, i)
				runners[name] = runner.New(runner.Settings{Name: name, Slots: 8, AnswerToken: 20 * time.Millisecond, Operation: 10 * time.Millisecond})
				change.Backends = append(change.Backends, config.Backend{Name: name, Address: name, Slots: 8, Labels: map[string]string{"role": role}})
			}
		}
		set := config.Set{}.WithChange(change)
		fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
		require.NoError(t, err)
		entry := request.Chain(request.Dispatch(runners, runners),
			request.Identify(fixedView{request.View{Config: set, Fleet: fleet}}),
			request.Choose(random{}))
		report := load.Run(t.Context(), load.Settings{Seed: 1, Duration: 20 * time.Second, Mix: []load.Work{
			{Name: "draft", KeyHash: "h", Service: "assistant", PerSecond: 5, Tokens: 20},
			{Name: "lookup", KeyHash: "h", Service: "stock", PerSecond: 5},
			{Name: "stranger", KeyHash: "other", Service: "stock", PerSecond: 1},
		}}, []request.Handler{entry})
		t.Log(report)
		for _, name := range []string{"draft", "lookup"} {
			samples := report[name]
			assert.Greater(t, samples.Answered, 50, name)
			assert.Zero(t, samples.Refused+samples.Failed+samples.Wrong, name)
		}
		assert.Zero(t, report["stranger"].Answered)
		assert.Equal(t, 400*time.Millisecond, report["draft"].Total[0])
		assert.Equal(t, 10*time.Millisecond, load.Quantile(report["lookup"].First, 0.5))
	})
}
