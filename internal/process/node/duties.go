package node

import (
	"context"
	"time"

	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

const (
	// dutyPrefix followed by dutyName is the key in the store that the lease of the duty protects.
	dutyPrefix = "duty/"
	dutyName   = "platform"
)

// usageSource provides the usage counts of this entry, from node, and those that peers reported, from the
// embedded state.
type usageSource struct {
	*share.SharedState
	node *Node
}

// Usage returns the counts of this entry.
func (usageSource usageSource) Usage() usage.Counts { return usageSource.node.Usage() }

// Reported returns the windows that this entry or another one has reported, as far as they told it.
func (usageSource usageSource) Reported() usage.Reported { return usageSource.node.reported.Load() }

// AddReported tells the other entries that this one reports the counts of a window.
func (usageSource usageSource) AddReported(window int64, counts map[string]int64) {
	usageSource.node.reported.Update(func(reported usage.Reported) usage.Reported { return reported.WithReport(window, counts) })
}

// UsageMissing returns the fraction of the other live entries whose counts up to a wall-clock time have not arrived.
func (usageSource usageSource) UsageMissing(until time.Time) float64 {
	return usageSource.Cluster().UsageMissing(until, clock.Boot{}.Now())
}

// usageStore is the platform's store, of whose restores an entry may learn from its peers before it calls the store again.
type usageStore struct {
	duties.UsageStore
	shared *share.SharedState
}

// Status returns the status of the store with the time at which this entry learned of the last restore in either way.
func (usageStore usageStore) Status() metadata.StoreStatus {
	status, servers := usageStore.UsageStore.Status(), usageStore.shared.Servers()
	if servers.RestoreListedAt() == 0 || directory.Era(servers.Revision()) != status.Era {
		return status
	}
	// The servers have the time since the boot, and the store's status has the wall-clock time.
	if listedAt := time.Now().Add(servers.RestoreListedAt() - clock.Boot{}.Now()); listedAt.Before(status.RestoreSeenAt) {
		status.RestoreSeenAt, status.RestoredBeforeStart = listedAt, false
	}
	return status
}

// newElector returns the elector for the duty, or nil if the settings enable none of its tasks.
func newElector(node *Node, settings Settings, platform Platform) *duty.Elector {
	var tasks []duties.Task
	if settings.ReportsUsage {
		store, source := usageStore{platform.Store, node.sharedState}, usageSource{node.sharedState, node}
		tasks = append(tasks, duties.NewUsageReporter(store, platform.Cloud, source, settings.UsageWindow, settings.UsageDue, node.logger))
	}
	if settings.OrdersCapacity {
		scaler := duties.NewScaler(platform.Cloud, node.sharedState, clock.Boot{}, settings.Domains, orderMetrics{node.metrics}, node.logger)
		tasks = append(tasks, scaler.WithVersions(node.rollouts))
	}
	if settings.RollsOut {
		tasks = append(tasks, duties.NewRolloutTask(
			platform.Store, platform.RolloutCodec, node.rollouts, node.sharedState, clock.Boot{}, rolloutRecorder{node.metrics, node.logger}, node.logger,
		))
	}
	if len(tasks) == 0 {
		return nil
	}
	tasks = append(tasks, duties.NewFleetSizeRecorder(platform.Store, func() int { return len(node.sharedState.Fleet().Alive()) }, node.logger))
	return duty.NewElector(
		duty.Settings{Duty: dutyName, Prefix: dutyPrefix, Self: settings.Name, TTL: settings.LeaseTime, ReleaseTime: settings.StopTime - stopMargin},
		metadata.NewLeases(platform.Store, settings.Name), node, duties.NewTaskRunner(node.logger, tasks...))
}

// runDuties runs the elector until ctx ends. The elector performs the tasks of the duty while this entry is the
// leader.
func (node *Node) runDuties(ctx context.Context) error {
	if node.elector == nil {
		return nil
	}
	return node.elector.Run(ctx, func(err error) { node.logger.Warn().Err(err).Msg("leading the duty failed; retrying") })
}

// readFleetSize reads the number of entries that the store has. Without it, the limits assume many entries until they have
// been counted, so a read that fails is not repeated.
func (node *Node) readFleetSize(ctx context.Context) error {
	entries, err := duties.FleetSize(ctx, node.platform.Store.GetStale)
	if err != nil || entries <= 0 {
		node.logger.Info().Err(err).Msg("the number of entries is not known; limits assume many until they have been counted")
		return nil
	}
	node.limits.SetRecordedEntries(entries)
	return nil
}
