package serve

import (
	"github.com/rosemaryspar/rosemaryspar/internal/process/resources"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// limitResources bounds the memory of the Go runtime and what the clients of all addresses make the entry hold, and adds the metrics of it.
func (entry *Entry) limitResources(metrics *telemetry.Metrics) {
	limits := resources.Limits{MemoryBytes: int64(entry.settings.MemoryMb) << 20, Descriptors: int64(entry.settings.MaxFds)}
	limits.LimitRuntime()
	addresses := []resources.Address{
		{Name: "Caller", Guard: entry.callerServer.Guard(), Share: resources.ShareOfCallers},
		{Name: "Operator", Guard: entry.operatorServer.Guard(), Share: resources.ShareOfOperators},
		{Name: "Peer", Guard: entry.gossipNode.guard, Share: resources.ShareOfPeers},
	}
	resources.Record(metrics, entry.logger, addresses...)
	limits.LimitClients(addresses...)
}
