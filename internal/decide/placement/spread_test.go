package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/placement"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/work"
)

// Guards against a route with very short and long answers, whose expected time is far too high, that sends all its calls to a full server
// because it is somewhat faster.
func TestWideSpreadOfAnswersDoesNotFillTheFastestServer(t *testing.T) {
	sketch := work.Sketch{}
	for range 100 {
		sketch = sketch.WithCall(work.Call{Amount: 1, UnitMs: 20}).WithCall(work.Call{Amount: 1000, UnitMs: 20})
	}
	full := func(o placement.Observation) placement.Observation {
		return paces(0.75, 1)(o).WithLoad(call.ServerLoad{Running: 8, Waiting: 4}, now)
	}
	query := placement.Query{Now: now, Engine: true, Prompt: call.Prompt{Input: 300}, TimeLeft: 15 * time.Second, Work: sketch.Estimate(0, 0)}
	all := candidates(2, map[int]change{0: full})
	choice, _ := placement.Choose(all, query)
	assert.Equal(t, "s1", choice.Server.ID)
}
