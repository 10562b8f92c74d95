package resources

import (
	"cmp"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/intake"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

const (
	// runtimeShare is the fraction of the memory that the Go runtime may use. The remainder is for the program itself and for data in
	// the kernel's buffers. It is at least programMemory.
	runtimeShare = 0.7
	// programMemory is the memory of the program itself that does not belong to the Go runtime, with a margin for what the runtime exceeds its
	// limit by, in bytes.
	programMemory = 28 << 20
	// minRuntimeMemory is the lowest limit of the Go runtime in bytes; with less, it would do nothing but collect garbage.
	minRuntimeMemory = 16 << 20
)

// Limits are what a process may use.
type Limits struct {
	// MemoryBytes is the memory beyond which the process is killed, 0 for no limit.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open, 0 for the limit of the operating system.
	Descriptors int64
}

// LimitRuntime limits the memory of the Go runtime, unless the memory has no limit.
func (limits Limits) LimitRuntime() {
	if limits.MemoryBytes > 0 {
		limit := min(partOf(limits.MemoryBytes, runtimeShare), limits.MemoryBytes-programMemory)
		debug.SetMemoryLimit(max(limit, minRuntimeMemory))
	}
}

// Share is the fractions of the memory and of the descriptors that the clients of an address may make the process hold.
type Share struct{ memory, descriptors float64 }

// The shares of the addresses by their clients. What remains of the memory is for what the entry knows and for garbage that the runtime
// has not collected yet. What remains of the descriptors is for idle connections to servers, for the store and for calls to peers.
var (
	ShareOfCallers   = Share{memory: 0.25, descriptors: 0.6}
	ShareOfOperators = Share{memory: 0.1, descriptors: 0.05}
	ShareOfPeers     = Share{memory: 0.1, descriptors: 0.15}
	// ShareOfStatus is for the health checks, or for the readers of the metrics, at an address of their own.
	ShareOfStatus = Share{memory: 0.03, descriptors: 0.05}
)

// MemoryOf returns the memory of a share in bytes, 0 for no limit.
func (limits Limits) MemoryOf(share Share) int64 { return partOf(limits.MemoryBytes, share.memory) }

// Address is an address of the process whose connections are bounded.
type Address struct {
	// Name is a label of the address's metrics.
	Name  string
	Guard *tcp.Guard
	Share Share
}

// LimitClients bounds what the clients of the addresses make the process hold.
func (limits Limits) LimitClients(addresses ...Address) {
	descriptors := cmp.Or(limits.Descriptors, tcp.DescriptorLimit())
	for _, address := range addresses {
		address.Guard.SetLimits(intake.Limits{Bytes: limits.MemoryOf(address.Share), Descriptors: partOf(descriptors, address.Share.descriptors)})
	}
}

// Record adds the metrics and log lines of what the clients of the addresses hold, and of the connections that are closed. It must be
// called before connections are accepted.
func Record(metrics *telemetry.Metrics, logger zerolog.Logger, addresses ...Address) {
	for _, address := range addresses {
		address.Guard.RecordTo(telemetry.NewClosedConnections(metrics, logger, address.Name))
		metrics.GaugeHeld(address.Name, address.Guard)
	}
}

// partOf returns a fraction of a limit.
func partOf(limit int64, fraction float64) int64 { return int64(float64(limit) * fraction) }
