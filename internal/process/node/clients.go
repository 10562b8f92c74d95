package node

import (
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
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

// closedLogInterval is the shortest time between two log lines about connections that were closed.
const closedLogInterval = 10 * time.Second

// guarded is an address whose connections are bounded.
type guarded struct {
	name                      string
	guard                     *tcp.Guard
	memoryShare, openingShare float64
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
		address.guard.RecordTo(&closedRecorder{metrics: node.metrics, logger: node.logger, address: address.name, logged: rcu.New(time.Time{})})
		label := `{address="` + address.name + `"}`
		node.metrics.Gauge("client_held_bytes"+label, func() float64 { bytes, _ := address.guard.Held(); return float64(bytes) })
		node.metrics.Gauge("client_held_descriptors"+label, func() float64 { _, descriptors := address.guard.Held(); return float64(descriptors) })
	}
	node.limitClients(settings)
}

// limitClients sets the limits of what clients make the entry hold.
func (node *Node) limitClients(settings Settings) {
	descriptors := settings.MaxDescriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	for _, address := range node.guardedAddresses() {
		address.guard.SetLimits(intake.Limits{
			Bytes:       int64(float64(settings.MemoryBytes) * address.memoryShare),
			Descriptors: int64(float64(descriptors) * address.openingShare),
		})
	}
	if settings.MemoryBytes > 0 {
		node.ingress.LimitBodyMemory(int64(float64(settings.MemoryBytes) * callerMemoryShare))
	}
}

// descriptorLimit returns the number of descriptors that the operating system allows the process, 0 if it cannot be read.
func descriptorLimit() int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int64(limit.Cur)
}

// closedRecorder counts the connections of clients that were closed and the requests that were refused, and logs one now and then.
type closedRecorder struct {
	metrics *telemetry.Metrics
	logger  zerolog.Logger
	address string
	logged  *rcu.Cell[time.Time]
}

// RecordClosed implements [tcp.Recorder].
func (closedRecorder *closedRecorder) RecordClosed(reason tcp.Reason) {
	closedRecorder.metrics.Count("client_connections_closed_total",
		telemetry.Label{Name: "address", Value: closedRecorder.address}, telemetry.Label{Name: "reason", Value: string(reason)})
	now, isDue := time.Now(), false
	closedRecorder.logged.Update(func(last time.Time) time.Time {
		if isDue = now.Sub(last) >= closedLogInterval; isDue {
			return now
		}
		return last
	})
	if isDue {
		closedRecorder.logger.Warn().Str("Address", closedRecorder.address).Str("Reason", string(reason)).
			Msg("closed a connection of a client, or refused its request, to stay within the limits; further ones are only counted for 10 s")
	}
}
