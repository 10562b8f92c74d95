package duties

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/cluster"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/rollout"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

// movedTolerance is the rounding that the sum of the entries that have moved may have.
const movedTolerance = 0.01

// RolloutSource provides what this entry knows of roll-outs.
type RolloutSource interface {
	// Services returns the services that have an order or a record.
	Services() []string
	// State returns what this entry knows of a service, with the latest plan.
	State(service string) rollout.State
	// Monitor returns the evidence of all entries on a service.
	Monitor(service string) rollout.Monitor
	// Revision returns the store's revision at which the orders and records were read.
	Revision() int64
	// FirstSeen returns when this entry first saw the present order of a service.
	FirstSeen(service string) time.Time
	// Moved returns 1 for each order, by its revision, for which this entry has moved all calls to the new servers.
	Moved() map[int64]float64
}

// RolloutCodec encodes and decodes records of roll-outs.
type RolloutCodec interface {
	// RecordKey returns the store's key of the record of a service.
	RecordKey(service string) string
	// Encode returns the items that hold a record and the status of its order.
	Encode(record rollout.Record) ([]metadata.Item, error)
	// Decode returns the record that an item holds. One that is malformed or missing has only its revision.
	Decode(service string, item metadata.Item) rollout.Record
}

// RolloutFleet provides the servers and the live entries.
type RolloutFleet interface {
	// Servers returns the backend servers.
	Servers() directory.Servers
	// Cluster returns the state of this entry and its peers.
	Cluster() cluster.State
	// Fleet returns the live entries.
	Fleet() cluster.Fleet
}

// RolloutRecorder counts the steps of roll-outs.
type RolloutRecorder interface {
	// RecordRolloutStep counts a step that the store has accepted.
	RecordRolloutStep(record rollout.Record, reason rollout.Reason)
}

// RolloutTask moves the operators' orders forward: it writes each record together with the status of its order.
type RolloutTask struct {
	store    ItemStore
	codec    RolloutCodec
	source   RolloutSource
	fleet    RolloutFleet
	clock    Clock
	recorder RolloutRecorder
	logger   zerolog.Logger
	// fence is the fencing number of the leadership of the last call of Act.
	fence int64
	// settledSince is since when all live entries have reported for an order that they have moved.
	settledSince map[int64]time.Time
	// latest are records that this task has written or read by itself, and that the entry's copy may not have yet.
	latest map[string]rollout.Record
}

// NewRolloutTask returns a task that has written nothing.
func NewRolloutTask(
	store ItemStore, codec RolloutCodec, source RolloutSource, fleet RolloutFleet, clock Clock, recorder RolloutRecorder, logger zerolog.Logger,
) *RolloutTask {
	return &RolloutTask{
		store: store, codec: codec, source: source, fleet: fleet, clock: clock, recorder: recorder, logger: logger,
		settledSince: map[int64]time.Time{}, latest: map[string]rollout.Record{},
	}
}

// Act takes the next step of each order. It tries all of them and returns their errors together, but stops at once with
// [duty.ErrLeaseLost].
func (task *RolloutTask) Act(ctx context.Context, leadership Leadership) error {
	if fence := leadership.FencingNumber(); fence != task.fence {
		// What an earlier leadership saw says nothing of the time in between.
		task.fence = fence
		clear(task.settledSince)
	}
	var errs []error
	for _, service := range task.source.Services() {
		err := task.advance(ctx, leadership, service)
		if errors.Is(err, duty.ErrLeaseLost) {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// advance takes the next step of the order of a service, if there is one.
func (task *RolloutTask) advance(ctx context.Context, leadership Leadership, service string) error {
	state := task.state(service)
	situation := task.situation(service, state)
	situation.Verdict = task.source.Monitor(service).Verdict(situation.Elapsed())
	record, reason, changed := rollout.Next(situation)
	if !changed {
		return nil
	}
	items, err := task.codec.Encode(record)
	if err != nil {
		return err
	}
	if !leadership.Held() {
		return duty.ErrLeaseLost
	}
	expected := metadata.Condition{Key: task.codec.RecordKey(service), Revision: state.Stored().Record.Revision}
	revision, err := task.store.Commit(ctx, metadata.Change{Expects: []metadata.Condition{expected}, Writes: items})
	if err != nil {
		return errors.Join(err, task.readRecord(ctx, service))
	}
	record.Revision = revision
	task.latest[service] = record
	task.recorder.RecordRolloutStep(record, reason)
	task.logger.Info().Int64("Fence", leadership.FencingNumber()).Str("Service", service).Str("To", record.To).Int64("Order", record.Order).
		Str("Phase", string(record.Phase)).Str("Reason", string(reason)).Strs("Base", record.Base).Dur("SinceOrderMs", situation.Now.Sub(record.Started)).
		Interface("Evidence", task.source.Monitor(service).Summary()).Msg("roll-out entered a phase")
	return nil
}

// state returns what this entry knows of a service, with the record that this task has written or read if the copy of the store
// is older.
func (task *RolloutTask) state(service string) rollout.State {
	state, latest := task.source.State(service), task.latest[service]
	if task.source.Revision() >= latest.Revision {
		delete(task.latest, service)
		return state
	}
	plan := state.Stored()
	plan.Record = latest
	return state.WithPlan(plan, 0)
}

// readRecord reads the record of a service after a write without an answer, or after a conflict.
func (task *RolloutTask) readRecord(ctx context.Context, service string) error {
	item, _, err := task.store.Get(ctx, task.codec.RecordKey(service))
	if err != nil {
		return err
	}
	task.latest[service] = task.codec.Decode(service, item)
	return nil
}

// situation returns what this entry knows of a service.
func (task *RolloutTask) situation(service string, state rollout.State) rollout.Situation {
	now, order := time.Now(), state.Plan().Order
	situation := rollout.Situation{State: state, FirstSeen: task.source.FirstSeen(service), Now: now, SettledFor: task.settledFor(order.Revision, now)}
	for _, server := range task.fleet.Servers().All() {
		if server.Service == service {
			situation.Versions = append(situation.Versions, server.Version)
		}
	}
	for _, server := range task.fleet.Servers().OfService(service) {
		if server.Version == order.To {
			situation.NewServers++
		}
	}
	return situation
}

// settledFor returns the time for which all live entries have reported that they have moved.
func (task *RolloutTask) settledFor(order int64, now time.Time) time.Duration {
	moved := task.source.Moved()[order] + task.fleet.Cluster().OtherLevels(task.clock.Now()).MovedEntries[order]
	if moved < float64(len(task.fleet.Fleet().Alive()))-movedTolerance {
		delete(task.settledSince, order)
		return 0
	}
	if _, settled := task.settledSince[order]; !settled {
		task.settledSince[order] = now
	}
	return now.Sub(task.settledSince[order])
}
