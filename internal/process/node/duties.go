package node

import (
	"context"

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
	var parts []duties.Part
	if node.settings.ReportsUsage {
		parts = append(parts, duties.NewUsage(node.platform.Store, node.platform.Cloud, node.knowledge, node.settings.UsageWindow, node.settings.UsageDue, node.logger))
	}
	if len(parts) == 0 {
		return nil
	}
	keeper := duty.NewKeeper(
		duty.Settings{Duty: dutyName, Prefix: dutyPrefix, Self: node.settings.Name, TTL: node.settings.LeaseTime},
		metadata.NewLeases(node.platform.Store, node.settings.Name), node, duties.NewWork(node.logger, parts...))
	return keeper.Run(ctx, func(err error) { node.logger.Warn().Err(err).Msg("duty") })
}
