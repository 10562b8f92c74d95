package serve

import (
	"cmp"
	"runtime/debug"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// The fractions of the memory and descriptors in the settings that the clients of an address may make the entry hold.
const (
	callerMemoryShare       = 0.25
	callerDescriptorShare   = 0.6
	operatorMemoryShare     = 0.1
	operatorDescriptorShare = 0.05
	peerMemoryShare         = 0.05
	peerDescriptorShare     = 0.15
	// memoryShare is the fraction of the memory that the Go runtime may use, and programMemory what it leaves at least, in bytes.
	memoryShare   = 0.7
	programMemory = 26 << 20
)

// limitClients bounds what the clients of all addresses make the entry hold, and adds the metrics of it.
func (entry *Entry) limitClients(metrics *telemetry.Metrics) {
	memory, descriptors := int64(entry.settings.MemoryMb)<<20, cmp.Or(int64(entry.settings.MaxFds), tcp.DescriptorLimit())
	if memory > 0 {
		debug.SetMemoryLimit(min(int64(float64(memory)*memoryShare), memory-programMemory))
	}
	for _, address := range []struct {
		name                         string
		guard                        *tcp.Guard
		memoryShare, descriptorShare float64
	}{
		{"Caller", entry.callerServer.Guard(), callerMemoryShare, callerDescriptorShare},
		{"Operator", entry.operatorServer.Guard(), operatorMemoryShare, operatorDescriptorShare},
		{"Peer", entry.gossipNode.guard, peerMemoryShare, peerDescriptorShare},
	} {
		address.guard.RecordTo(telemetry.NewClosedConnections(metrics, entry.logger, address.name))
		address.guard.SetLimits(intake.Limits{
			Bytes: int64(float64(memory) * address.memoryShare), Descriptors: int64(float64(descriptors) * address.descriptorShare),
		})
		metrics.GaugeHeld(address.name, address.guard)
	}
}
