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

// random draws from the source of the whole process, which several threads may use at once.
type random struct{}

func (random) IntN(n int) int { return rand.IntN(n) }

type views struct{ view request.View }

func (views views) View() request.View { return views.view }

// Guards against a load report that misses work, and against a path that garbles answers.
func TestRunChecksEveryAnswerOfThePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := runner.Runners{}
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
				group[name] = runner.New(runner.Settings{Name: name, Slots: 8, AnswerToken: 20 * time.Millisecond, Operation: 10 * time.Millisecond})
				change.Backends = append(change.Backends, config.Backend{Name: name, Address: name, Slots: 8, Labels: map[string]string{"role": role}})
			}
		}
		set := config.Set{}.WithChange(change)
		fleet, err := backend.NewFleet(set, nil, backend.Fleet{})
		require.NoError(t, err)
		entry := request.Chain(request.Dispatch(group, group),
			request.Identify(views{request.View{Config: set, Fleet: fleet}}),
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
