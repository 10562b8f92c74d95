package duties

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/fault"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

const (
	// fleetSizeKey is the store's key of the number of entries.
	fleetSizeKey = "fleet/size"
	// fleetSizeMemory is the time for which the largest number of entries is recorded: while a fleet restarts, the leader
	// sees only a part of it.
	fleetSizeMemory = time.Minute
)

// fleetSize is the stored form of the number of entries.
type fleetSize struct {
	Entries int
}

// FleetSizeRecorder keeps the number of entries in the store, so that a fleet of which all entries restart at once knows its
// size before it has found itself.
type FleetSizeRecorder struct {
	store  ItemStore
	alive  func() int
	logger zerolog.Logger
	// fence is the fencing number of the current leadership, and recorded the number that the store has, 0 for none.
	fence    int64
	recorded int
	// seenAt is when as many entries as recorded were seen last.
	seenAt time.Time
}

// NewFleetSizeRecorder returns a recorder of the number that alive returns, the entries that live now.
func NewFleetSizeRecorder(store ItemStore, alive func() int, logger zerolog.Logger) *FleetSizeRecorder {
	return &FleetSizeRecorder{store: store, alive: alive, logger: logger}
}

// Act stores the number of entries when it has grown, or has been lower for fleetSizeMemory.
func (recorder *FleetSizeRecorder) Act(ctx context.Context, leadership Leadership) error {
	now, alive := time.Now(), recorder.alive()
	if fence := leadership.FencingNumber(); fence != recorder.fence {
		recorded, err := FleetSize(ctx, recorder.store.Get)
		if err != nil {
			return err
		}
		// A new leader may see a part of a fleet that starts, so a number in the store stays as if it was seen now.
		recorder.fence, recorder.recorded, recorder.seenAt = fence, recorded, now
	}
	if alive == recorder.recorded {
		recorder.seenAt = now
	}
	if alive <= recorder.recorded && now.Sub(recorder.seenAt) < fleetSizeMemory {
		return nil
	}
	if !leadership.Held() {
		return duty.ErrLeaseLost
	}
	value, err := json.Marshal(fleetSize{Entries: alive})
	if err != nil {
		return err
	}
	if _, err := recorder.store.Commit(ctx, metadata.Change{Writes: []metadata.Item{{Key: fleetSizeKey, Value: value}}}); err != nil {
		return err
	}
	recorder.recorded, recorder.seenAt = alive, now
	recorder.logger.Info().Int("Entries", alive).Msg("number of entries stored")
	return nil
}

// FleetSize returns the number of entries that the store has, 0 if it has none.
func FleetSize(ctx context.Context, get func(ctx context.Context, key string) (metadata.Item, int64, error)) (int, error) {
	item, _, err := get(ctx, fleetSizeKey)
	if err != nil || item.Revision == 0 {
		return 0, err
	}
	var size fleetSize
	if err := json.Unmarshal(item.Value, &size); err != nil {
		return 0, fault.Wrap(err, "fleet size", fleetSizeKey)
	}
	return size.Entries, nil
}
