package telemetry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/tcp"
)

// closedLogInterval is the shortest time between two log lines about connections that were closed.
const closedLogInterval = 10 * time.Second

// ClosedConnections counts the connections of clients that were closed and the requests that were refused to stay within the limits of an
// address, and logs one now and then.
type ClosedConnections struct {
	metrics *Metrics
	logger  zerolog.Logger
	address string
	// logged is when the latest line was logged.
	logged *rcu.Cell[time.Time]
}

// NewClosedConnections returns the recorder of an address, whose name is a label of the metrics.
func NewClosedConnections(metrics *Metrics, logger zerolog.Logger, address string) *ClosedConnections {
	return &ClosedConnections{metrics: metrics, logger: logger, address: address, logged: rcu.New(time.Time{})}
}

// RecordClosed implements [tcp.Recorder].
func (closedConnections *ClosedConnections) RecordClosed(reason tcp.Reason) {
	closedConnections.metrics.Count("client_connections_closed_total",
		Label{Name: "address", Value: closedConnections.address}, Label{Name: "reason", Value: string(reason)})
	now := time.Now()
	if _, isDue := rcu.Apply(closedConnections.logged, func(last time.Time) (time.Time, bool) {
		if now.Sub(last) < closedLogInterval {
			return last, false
		}
		return now, true
	}); isDue {
		closedConnections.logger.Warn().Str("Address", closedConnections.address).Str("Reason", string(reason)).
			Msg("closed a connection of a client, or refused its request, to stay within the limits; further ones are only counted for 10 s")
	}
}

// GaugeHeld adds gauges of what the clients of an address hold, and of the memory of what has ended there.
func (telemetry *Metrics) GaugeHeld(address string, guard *tcp.Guard) {
	label := `{address="` + address + `"}`
	telemetry.Gauge("client_held_bytes"+label, func() float64 { bytes, _ := guard.Held(); return float64(bytes) })
	telemetry.Gauge("client_ended_bytes"+label, func() float64 { return float64(guard.Ended()) })
	telemetry.Gauge("client_held_descriptors"+label, func() float64 { _, descriptors := guard.Held(); return float64(descriptors) })
}
