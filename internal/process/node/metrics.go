package node

import (
	"math"
	"strconv"

	"github.com/rs/zerolog"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/capacity"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/usage"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/duties"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/share"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// addGauges adds the metrics that are read at each scrape.
func (node *Node) addGauges(logBuffer LogBuffer) {
	shared := node.sharedState
	for name, read := range map[string]func() float64{
		"requests_in_progress":   func() float64 { return float64(node.gate.InProgress()) },
		"config_version":         func() float64 { return float64(shared.Routes().Version()) },
		"config_age_seconds":     func() float64 { return shared.RoutesAge().Seconds() },
		"servers_age_seconds":    func() float64 { return shared.ServersAge().Seconds() },
		"servers_listed":         func() float64 { return float64(len(shared.Servers().All())) },
		"entries_live":           func() float64 { return float64(len(shared.Fleet().Alive())) },
		"is_aggregator":          func() float64 { return number(shared.Fleet().IsAggregator()) },
		"is_leader":              func() float64 { return number(node.elector != nil && node.elector.IsLeader()) },
		"store_unreachable":      func() float64 { return number(shared.Cluster().Self().StoreUnreachable) },
		"store_era":              func() float64 { return float64(node.platform.Store.Status().Era) },
		"store_eras_malformed":   func() float64 { return float64(node.platform.Store.Status().MalformedEras) },
		"store_answers_outdated": func() float64 { return float64(node.platform.Store.Status().OutdatedAnswers) },
		"quarantined_parts":      func() float64 { return float64(len(node.partCrashes.Quarantined())) },
		"log_lines_dropped":      func() float64 { return float64(logBuffer.Dropped()) },
	} {
		node.metrics.Gauge(name, read)
	}
}

// HandleExchange counts an exchange with a peer, and logs one with content of the store that the peer did not get. An exchange
// without content is repeated within a second, and entries that are down would fill the log with it.
func (node *Node) HandleExchange(record share.ExchangeRecord) {
	labels := []telemetry.Label{{Name: "kind", Value: string(record.Kind)}, {Name: "result", Value: string(record.Result)}}
	node.metrics.Count("exchanges_total", labels...)
	node.metrics.Add("exchange_content_bytes_total", record.ContentBytes, labels...)
	if record.Err != nil && record.ContentBytes > 0 {
		node.logger.Warn().Err(record.Err).Str("Peer", record.Address).Str("Kind", string(record.Kind)).Int("ContentBytes", record.ContentBytes).
			Dur("DurationMs", record.Duration).Msg("could not send a peer what was read from the store; it is sent again")
	}
}

// RecordDroppedUsage counts a report of usage of a peer that cannot be true. It is not logged: the peer sends it again each second.
func (node *Node) RecordDroppedUsage(defect usage.Defect) {
	node.metrics.Count("usage_reports_dropped_total", telemetry.Label{Name: "defect", Value: string(defect)})
}

// number returns 1 for true and 0 for false, as metrics have it.
func number(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// orderMetrics counts the orders for servers in the metrics.
type orderMetrics struct{ metrics *telemetry.Metrics }

// RecordOrder counts one order by its service, failure domain, kind of servers and result.
func (orderMetrics orderMetrics) RecordOrder(order capacity.Order, result duties.OrderResult) {
	orderMetrics.metrics.Count("server_orders_total",
		telemetry.Label{Name: "service", Value: order.Service},
		telemetry.Label{Name: "domain", Value: order.Domain},
		telemetry.Label{Name: "reclaimable", Value: strconv.FormatBool(order.Reclaimable)},
		telemetry.Label{Name: "result", Value: string(result)},
	)
}

// noticeRecorder counts and logs what servers say about themselves in answers.
type noticeRecorder struct {
	metrics *telemetry.Metrics
	logger  zerolog.Logger
}

// RecordNotice counts a notice by its kind and the service, and logs it with the call in whose answer it came.
func (noticeRecorder noticeRecorder) RecordNotice(notice forward.Notice) {
	noticeRecorder.metrics.Count("server_notices_total",
		telemetry.Label{Name: "service", Value: notice.Server.Service},
		telemetry.Label{Name: "kind", Value: string(notice.Kind)},
	)
	event := noticeRecorder.logger.Info().Str("Kind", string(notice.Kind)).Str("Server", notice.Server.ID).Str("RequestID", notice.RequestID)
	if notice.Wait > 0 {
		event = event.Int64("WaitMs", notice.Wait.Milliseconds())
	}
	event.Msg("a server said in an answer that it takes no more calls")
}

// workRecorder counts how far estimates of the work of calls were off, and what they decided.
type workRecorder struct{ metrics *telemetry.Metrics }

// RecordEstimate counts a call of a route by the factor between its estimated and its real amount.
func (workRecorder workRecorder) RecordEstimate(route string, estimated, amount float64) {
	workRecorder.metrics.Count("work_estimates_total",
		telemetry.Label{Name: "route", Value: route},
		telemetry.Label{Name: "within", Value: estimateError(estimated, amount)},
	)
}

// RecordChoice counts a choice of a server by what decided it: the calls at the servers, or the work learned.
func (workRecorder workRecorder) RecordChoice(service string, changed bool) {
	decidedBy := "calls"
	if changed {
		decidedBy = "work"
	}
	workRecorder.metrics.Count("server_choices_total",
		telemetry.Label{Name: "service", Value: service},
		telemetry.Label{Name: "decided_by", Value: decidedBy},
	)
}

// estimateError returns the factor within which an estimate was right, as a label.
func estimateError(estimated, amount float64) string {
	if estimated <= 0 {
		return "unknown"
	}
	factor := math.Max(estimated/amount, amount/estimated)
	for _, bound := range []float64{1.5, 2, 4, 10} {
		if factor <= bound {
			return strconv.FormatFloat(bound, 'g', -1, 64)
		}
	}
	return "more"
}
