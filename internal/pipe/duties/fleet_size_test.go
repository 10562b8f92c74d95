package duties_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// Get returns an item of the fake store.
func (platform *platform) Get(_ context.Context, key string) (metadata.Item, int64, error) {
	item := metadata.Item{Key: key, Value: platform.items[key]}
	if item.Value != nil {
		item.Revision = 1
	}
	return item, 1, nil
}

// leader is a leadership that is held or not.
type leader struct {
	fence int64
	held  bool
}

func (leader leader) FencingNumber() int64 { return leader.fence }
func (leader leader) Held() bool           { return leader.held }

// Guards against a number of entries in the store that is too low: while all entries of a fleet restart, the leader sees a
// part of them, and entries that start then use too much of each limit.
func TestStoredFleetSizeDoesNotFallWhileAFleetRestarts(t *testing.T) {
	steps := []struct {
		name   string
		wait   time.Duration
		leader leader
		alive  int
		want   int
	}{
		{"first leader", 0, leader{1, true}, 3, 3},
		{"growth counts at once", time.Second, leader{1, true}, 9, 9},
		{"all entries lost power, a new leader sees one", time.Second, leader{2, true}, 1, 9},
		{"more of them have started", time.Second, leader{2, true}, 7, 9},
		{"still fewer after most of a minute", 50 * time.Second, leader{2, true}, 7, 9},
		{"fewer for a minute", 20 * time.Second, leader{2, true}, 7, 7},
		{"without the lease nothing is stored", time.Second, leader{2, false}, 20, 7},
		{"the next leader knows what is stored", time.Second, leader{3, true}, 6, 7},
	}
	synctest.Test(t, func(t *testing.T) {
		store, alive := &platform{items: map[string][]byte{}}, 0
		recorder := duties.NewFleetSizeRecorder(store, func() int { return alive }, zerolog.Nop())
		for _, step := range steps {
			time.Sleep(step.wait)
			alive = step.alive
			err := recorder.Act(t.Context(), step.leader)
			if step.leader.held {
				require.NoError(t, err, step.name)
			} else {
				require.ErrorIs(t, err, duty.ErrLeaseLost, step.name)
			}
			size, err := duties.FleetSize(t.Context(), store.Get)
			require.NoError(t, err)
			assert.Equal(t, step.want, size, step.name)
		}
	})
}

// Guards against a malformed number of entries that is taken for none, or for another one.
func TestMalformedFleetSizeIsAnError(t *testing.T) {
	store := &platform{items: map[string][]byte{"fleet/size": []byte("9 entries")}}
	_, err := duties.FleetSize(t.Context(), store.Get)
	assert.ErrorContains(t, err, "fleet/size")
}
