package telemetry

import (
	"fmt"
	"io"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
)

// Metrics is the set of metrics of one entry, updated with each finished request.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Gauge adds a gauge whose value is read at each scrape; its name gets the prefix "rosemaryspar_".
func (telemetry *Metrics) Gauge(name string, read func() float64) {
	telemetry.set.GetOrCreateGauge("rosemaryspar_"+name, read)
}

// Label is a label of a counter. Its value must be a configured name or an enumeration, so that the series are bounded.
type Label struct {
	Name  string
	Value string
}

// Count adds 1 to a counter; its name gets the prefix "rosemaryspar_".
func (telemetry *Metrics) Count(name string, labels ...Label) { telemetry.Add(name, 1, labels...) }

// Add adds amount to a counter; its name gets the prefix "rosemaryspar_".
func (telemetry *Metrics) Add(name string, amount int, labels ...Label) {
	texts := make([]string, len(labels))
	for i, label := range labels {
		texts[i] = fmt.Sprintf("%s=%q", label.Name, label.Value)
	}
	telemetry.set.GetOrCreateCounter("rosemaryspar_" + name + "{" + strings.Join(texts, ",") + "}").Add(amount)
}

// Write writes all metrics, and those of the process, in the Prometheus text format.
func (telemetry *Metrics) Write(output io.Writer) {
	telemetry.set.WritePrometheus(output)
	metrics.WriteProcessMetrics(output)
}

// Record adds a finished request to the counters, and its times in seconds to the histograms.
func (telemetry *Metrics) Record(result request.Result) {
	labels := requestLabels(result.Exchange)
	telemetry.set.GetOrCreateCounter(fmt.Sprintf("rosemaryspar_requests_total{%s,outcome=%q}", labels, Outcome(result.Err))).Inc()
	telemetry.set.GetOrCreateHistogram("rosemaryspar_whole_seconds{" + labels + "}").Update(result.Duration.Seconds())
	telemetry.set.GetOrCreateHistogram("rosemaryspar_queue_wait_seconds{" + labels + "}").Update(result.Exchange.QueueWait.Seconds())
	if result.TimeToFirstToken > 0 {
		telemetry.set.GetOrCreateHistogram("rosemaryspar_first_token_seconds{" + labels + "}").Update(result.TimeToFirstToken.Seconds())
	}
	if result.LongestGap > 0 {
		telemetry.set.GetOrCreateHistogram("rosemaryspar_longest_gap_seconds{" + labels + "}").Update(result.LongestGap.Seconds())
	}
	if result.Tokens > 0 {
		telemetry.set.GetOrCreateCounter("rosemaryspar_tokens_total{" + labels + "}").Add(result.Tokens)
	}
	if result.Exchange.RecomputedTokens > 0 {
		telemetry.set.GetOrCreateCounter("rosemaryspar_recomputed_tokens_total{" + labels + "}").Add(result.Exchange.RecomputedTokens)
	}
	for _, decision := range result.Exchange.Decisions {
		switch {
		case decision.Step == request.StepHedge:
			telemetry.set.GetOrCreateCounter("rosemaryspar_hedges_total{" + labels + "}").Inc()
		case decision.Reason == forward.ReasonEndedWithConnection:
			telemetry.set.GetOrCreateCounter("rosemaryspar_close_delimited_answers_total{" + labels + "}").Inc()
		}
	}
	if len(result.InterTokenTimes) > 0 {
		histogram := telemetry.set.GetOrCreateHistogram("rosemaryspar_token_gap_seconds{" + labels + "}")
		for _, gap := range result.InterTokenTimes {
			histogram.Update(gap.Seconds())
		}
	}
	if tries := len(result.Exchange.TriedServers); tries > 1 {
		telemetry.set.GetOrCreateCounter("rosemaryspar_retries_total{" + labels + "}").Add(tries - 1)
	}
}

// requestLabels returns labels with configured names and enumerations only, because a caller must not be able to add series.
func requestLabels(exchange request.Exchange) string {
	account, service, class := exchange.Request.Account, exchange.Service.Name, string(exchange.Request.Estimate.Class)
	if exchange.Route.Name != "" { // an opaque call
		service, class = exchange.Target.Service, string(exchange.Route.Kind)
	}
	return fmt.Sprintf("account=%q,service=%q,class=%q", account, service, class)
}
