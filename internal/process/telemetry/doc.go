// Package telemetry writes the log lines and the metrics of an entry.
//
// Logs are JSON lines with Pascal-case keys, one line for each request that
// ended. Metrics are counters, gauges and histograms, most of them per client
// account, service and class. The number of series is bounded, because accounts
// and services come from the configuration and all other labels are enumerations.
package telemetry
