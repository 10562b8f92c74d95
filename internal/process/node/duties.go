package node

import (
	"context"

	"github.com/rosemaryspar/rosemaryspar/internal/core/clock"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duty"
	"github.com/rosemaryspar/rosemaryspar/internal/platform/metadata"
)

const (
	// dutyPrefix and dutyName make the store's key of the duty's lease.
	dutyPrefix = "duty/"
	dutyName   = "platform"
)

// runDuties holds the duty whenever it is this entry's turn.
func (node *Node) runDuties(ctx context.Context) error {
	settings := node.settings.Load()
	var parts []duties.Part
	if settings.ReportsUsage {
		parts = append(parts, duties.NewUsage(node.platform.Store, node.platform.Cloud, node.knowledge, settings.UsageWindow, settings.UsageDue, node.logger))
	}
	if settings.OrdersCapacity {
		parts = append(parts, duties.NewScaling(node.platform.Cloud, node.knowledge, node.demand, clock.Boot{}, settings.Domains, node.logger))
	}
	if len(parts) == 0 {
		return nil
	}
	keeper := duty.NewKeeper(
		duty.Settings{Duty: dutyName, Prefix: dutyPrefix, Self: settings.Name, TTL: settings.LeaseTime},
		metadata.NewLeases(node.platform.Store, settings.Name), node, duties.NewWork(node.logger, parts...))
	return keeper.Run(ctx, func(err error) { node.logger.Warn().Err(err).Msg("duty") })
}
