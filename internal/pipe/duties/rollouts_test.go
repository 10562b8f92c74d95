package duties_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// shifting is an entry that has moved all calls for an order in its shift, and the store, clock, fleet and codec around it.
type shifting struct {
	state rollout.State
	// phases are those of the records that were written.
	phases []rollout.Phase
}

func (shifting *shifting) Services() []string             { return []string{"s"} }
func (shifting *shifting) State(string) rollout.State     { return shifting.state }
func (shifting *shifting) Monitor(string) rollout.Monitor { return rollout.Monitor{} }
func (shifting *shifting) Revision() int64                { return 10 }
func (shifting *shifting) FirstSeen(string) time.Time     { return time.Time{} }
func (shifting *shifting) Moved() map[int64]float64       { return map[int64]float64{5: 1} }
func (shifting *shifting) RecordKey(string) string        { return "rollout/s" }
func (shifting *shifting) Now() time.Duration             { return time.Minute }
func (shifting *shifting) Cluster() cluster.State         { return cluster.New(cluster.EntryState{}) }

func (shifting *shifting) Fleet() cluster.Fleet { return shifting.Cluster().Fleet(time.Minute) }

func (shifting *shifting) Servers() directory.Servers {
	return directory.Servers{}.WithSnapshot(directory.Snapshot[[]directory.Server]{Revision: 1, Value: []directory.Server{{ID: "a", Service: "s", Version: "v2", State: directory.StateReady}}})
}

func (shifting *shifting) Encode(record rollout.Record) ([]metadata.Item, error) {
	shifting.phases = append(shifting.phases, record.Phase)
	return nil, nil
}

func (shifting *shifting) Decode(string, metadata.Item) rollout.Record {
	return rollout.Record{}
}

func (shifting *shifting) Get(context.Context, string) (metadata.Item, int64, error) {
	return metadata.Item{}, 0, nil
}

func (shifting *shifting) GetStale(context.Context, string) (metadata.Item, int64, error) {
	return metadata.Item{}, 0, nil
}

func (shifting *shifting) Commit(context.Context, metadata.Change) (int64, error)    { return 9, nil }
func (shifting *shifting) RecordRolloutStep(record rollout.Record, _ rollout.Reason) {}

// Guards against an order that is done at once by a leader that led before, on reports of which some are older than the move.
func TestOrderSettlesInOneLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		order := rollout.Order{Service: "s", To: "v2", Duration: time.Minute, Revision: 5}
		entry := &shifting{state: rollout.State{}.WithPlan(rollout.Plan{Order: order, Record: rollout.Record{
			Service: "s", Order: 5, To: "v2", Phase: rollout.PhaseShift, Base: []string{"v1"}, Started: time.Now(), PhaseStarted: time.Now(), Revision: 8,
		}}, 0)}
		task := duties.NewRolloutTask(entry, entry, entry, entry, entry, entry, zerolog.Nop())
		assert.NoError(t, task.Act(t.Context(), held(1)))
		time.Sleep(5 * time.Second)
		assert.NoError(t, task.Act(t.Context(), held(3)))
		assert.Empty(t, entry.phases, "the first reports that the new leadership sees")
		time.Sleep(time.Second)
		assert.NoError(t, task.Act(t.Context(), held(3)))
		assert.Equal(t, []rollout.Phase{rollout.PhaseDone}, entry.phases)
	})
}
