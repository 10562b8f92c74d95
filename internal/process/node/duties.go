package node

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

const (
	// The store's key of the duty's lease is dutyPrefix followed by dutyName.
	dutyPrefix = "duty/"
	dutyName   = "platform"
)

// usageSource provides the usage counts of all entries.
type usageSource struct {
	*share.SharedState
	node *Node
}

// Usage returns the counts of this entry.
func (usageSource usageSource) Usage() usage.Counts { return usageSource.node.Usage() }

// newElector returns the elector of the duty, or nil if the settings enable none of its tasks.
func newElector(node *Node, settings Settings, platform Platform) *duty.Elector {
	var tasks []duties.Task
	if settings.ReportsUsage {
		tasks = append(tasks, duties.NewUsageReporter(platform.Store, platform.Cloud, usageSource{node.sharedState, node}, settings.UsageWindow, settings.UsageDue, node.logger))
	}
	if settings.OrdersCapacity {
		tasks = append(tasks, duties.NewScaler(platform.Cloud, node.sharedState, node.demand, clock.Boot{}, settings.Domains, node.logger))
	}
	if len(tasks) == 0 {
		return nil
	}
	return duty.NewElector(
		duty.Settings{Duty: dutyName, Prefix: dutyPrefix, Self: settings.Name, TTL: settings.LeaseTime},
		metadata.NewLeases(platform.Store, settings.Name), node, duties.NewTaskRunner(node.logger, tasks...))
}

// runDuties leads the duty whenever this entry can, until ctx ends.
func (node *Node) runDuties(ctx context.Context) error {
	if node.elector == nil {
		return nil
	}
	return node.elector.Run(ctx, func(err error) { node.logger.Warn().Err(err).Msg("leading the duty failed; retrying") })
}
