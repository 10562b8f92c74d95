package node

import (
	"cmp"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// The fractions of [Settings.MemoryBytes] and [Settings.MaxDescriptors] that the clients of an address may make the entry hold. What remains
// of the memory is for what the entry knows and for garbage that the runtime has not collected yet. What remains of the descriptors is
// for idle connections to servers, for the store and for calls to peers.
const (
	callerMemoryShare     = 0.25
	callerDescriptorShare = 0.6
	statusMemoryShare     = 0.03
	statusDescriptorShare = 0.05
	peerMemoryShare       = 0.05
	peerDescriptorShare   = 0.15
)

// guarded is an address whose connections are bounded.
type guarded struct {
	name                         string
	guard                        *tcp.Guard
	memoryShare, descriptorShare float64
}

// guardedAddresses returns the addresses that are open.
func (node *Node) guardedAddresses() []guarded {
	addresses := []guarded{
		{"Front", node.ingress.Guard(), callerMemoryShare, callerDescriptorShare},
		{"Control", node.peerServer.Guard(), peerMemoryShare, peerDescriptorShare},
		{"Ready", node.statusServer.guard, statusMemoryShare, statusDescriptorShare},
	}
	if node.metricsServer != nil {
		addresses = append(addresses, guarded{"Metrics", node.metricsServer.guard, statusMemoryShare, statusDescriptorShare})
	}
	return addresses
}

// guardClients bounds what the clients of all addresses make the entry hold, and adds the metrics of it.
func (node *Node) guardClients(settings Settings) {
	for _, address := range node.guardedAddresses() {
		address.guard.RecordTo(telemetry.NewClosedConnections(node.metrics, node.logger, address.name))
		node.metrics.GaugeHeld(address.name, address.guard)
	}
	node.limitClients(settings)
}

// limitClients sets the limits of what clients make the entry hold.
func (node *Node) limitClients(settings Settings) {
	descriptors := cmp.Or(settings.MaxDescriptors, tcp.DescriptorLimit())
	for _, address := range node.guardedAddresses() {
		address.guard.SetLimits(intake.Limits{
			Bytes:       int64(float64(settings.MemoryBytes) * address.memoryShare),
			Descriptors: int64(float64(descriptors) * address.descriptorShare),
		})
	}
	if settings.MemoryBytes > 0 {
		node.ingress.LimitBodyMemory(int64(float64(settings.MemoryBytes) * callerMemoryShare))
	}
}
