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
	// dutyPrefix and dutyName make the store's key of the duty's lease.
	dutyPrefix = "duty/"
	dutyName   = "platform"
)

// usageSource gives what the entries counted.
type usageSource struct {
	*share.SharedState
	node *Node
}

// Usage returns what this entry counted.
func (usageSource usageSource) Usage() usage.Counts { return usageSource.node.Usage() }

// newElector returns the keeper of the duty, nil where there is nothing to do for the platform.
func newElector(node *Node, settings Settings, platform Platform) *duty.Elector {
	var parts []duties.Task
	if settings.ReportsUsage {
		parts = append(parts, duties.NewUsageReporter(platform.Store, platform.Cloud, usageSource{node.sharedState, node}, settings.UsageWindow, settings.UsageDue, node.logger))
	}
	if settings.OrdersCapacity {
		parts = append(parts, duties.NewScaler(platform.Cloud, node.sharedState, node.demand, clock.Boot{}, settings.Domains, node.logger))
	}
	if len(parts) == 0 {
		return nil
	}
	return duty.NewElector(
		duty.Settings{Duty: dutyName, Prefix: dutyPrefix, Self: settings.Name, TTL: settings.LeaseTime},
		metadata.NewLeases(platform.Store, settings.Name), node, duties.NewWork(node.logger, parts...))
}

// runDuties holds the duty whenever it is this entry's turn.
func (node *Node) runDuties(ctx context.Context) error {
	if node.elector == nil {
		return nil
	}
	return node.elector.Run(ctx, func(err error) { node.logger.Warn().Err(err).Msg("duty") })
}
