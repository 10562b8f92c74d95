package telemetry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspar/rosemaryspar/internal/core/rcu"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
)

// ServerFailures counts the failed attempts by server and cause, as rosemaryspar_server_failures_total. It is safe for concurrent use.
//
// The counts are cells of their own, which are written at each scrape, since the counters of a [metrics.Set] are looked up under its lock.
type ServerFailures struct {
	counts rcu.Cells[failureSeries, uint64]
}

// failureSeries is a series of the metric.
type failureSeries struct {
	service string
	server  string
	cause   call.Cause
}

// NewServerFailures returns counts without any failure, which are written with the other metrics.
func NewServerFailures(telemetry *Metrics) *ServerFailures {
	serverFailures := &ServerFailures{counts: rcu.NewCells[failureSeries, uint64]()}
	telemetry.set.RegisterMetricsWriter(serverFailures.write)
	return serverFailures
}

// RecordFailure counts a failed attempt at a server.
func (serverFailures *ServerFailures) RecordFailure(server directory.Server, cause call.Cause) {
	series := failureSeries{service: server.Service, server: server.ID, cause: cause}
	serverFailures.counts.GetOrCreate(series, 0).Update(func(count uint64) uint64 { return count + 1 })
}

// Retain removes the series of the servers that are not listed. A call that fails at such a server later adds its series again, until
// the next Retain.
func (serverFailures *ServerFailures) Retain(listed map[string]directory.Server) {
	serverFailures.counts.Drop(func(series failureSeries, _ uint64) bool {
		server, ok := listed[series.server]
		return !ok || server.Service != series.service
	})
}

// write writes the counts in the Prometheus text format.
func (serverFailures *ServerFailures) write(output io.Writer) {
	counts := serverFailures.counts.All()
	for _, series := range slices.SortedFunc(maps.Keys(counts), failureSeries.compare) {
		name := fmt.Sprintf("rosemaryspar_server_failures_total{service=%q,server=%q,kind=%q}", series.service, series.server, series.cause)
		metrics.WriteCounterUint64(output, name, counts[series].Load())
	}
}

// compare orders series by service, server and cause.
func (series failureSeries) compare(other failureSeries) int {
	return cmp.Or(cmp.Compare(series.service, other.service), cmp.Compare(series.server, other.server), cmp.Compare(series.cause, other.cause))
}
