package node

import "github.com/rosemaryspar/rosemaryspar/internal/process/resources"

// limits returns what the settings allow the process to use.
func (settings Settings) limits() resources.Limits {
	return resources.Limits{MemoryBytes: settings.MemoryBytes, Descriptors: settings.MaxDescriptors}
}

// openAddresses returns the addresses that are open.
func (node *Node) openAddresses() []resources.Address {
	addresses := []resources.Address{
		{Name: "Front", Guard: node.ingress.Guard(), Share: resources.ShareOfCallers},
		{Name: "Control", Guard: node.peerServer.Guard(), Share: resources.ShareOfPeers},
		{Name: "Ready", Guard: node.statusServer.guard, Share: resources.ShareOfStatus},
	}
	if node.metricsServer != nil {
		addresses = append(addresses, resources.Address{Name: "Metrics", Guard: node.metricsServer.guard, Share: resources.ShareOfStatus})
	}
	return addresses
}

// limitClients bounds what the clients of all addresses make the entry hold.
func (node *Node) limitClients(limits resources.Limits) {
	limits.LimitClients(node.openAddresses()...)
}
