package telemetry_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/config"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/route"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/forward"
	"github.com/rosemaryspar/rosemaryspar/internal/pipe/request"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// Guards against log lines and metrics that lack the account, the outcome or the times of a request.
func TestRequestIsLoggedAndCounted(t *testing.T) {
	exchange := request.Exchange{
		Request: call.Request{ID: "r1", Account: "desk", Estimate: call.Estimate{Class: call.ClassShort}},
		Service: config.Service{Name: "drafts"}, QueueWait: 20 * time.Millisecond, RecomputedTokens: 7, TriedServers: []string{"s1", "s2"},
		Decisions: []request.Decision{{Step: request.StepHedge}, {Step: forward.StepDeliver, Reason: forward.ReasonEndedWithConnection}},
	}
	failed := request.Result{
		Exchange: exchange, Duration: time.Second, TimeToFirstToken: 100 * time.Millisecond, Tokens: 3, InterTokenTimes: []time.Duration{time.Millisecond},
		Err: &call.Failure{Ran: call.RanUnknown, Cause: call.CauseReset, Step: "relay", Peer: "s2"},
	}
	var output bytes.Buffer
	telemetry.NewRequestLog(telemetry.NewLogger(&output, "e1", "info")).Record(failed)
	var line map[string]any
	require.NoError(t, json.Unmarshal(output.Bytes(), &line))
	for key, want := range map[string]any{
		"Entry": "e1", "RequestID": "r1", "Account": "desk", "Service": "drafts", "Class": "Short", "Outcome": "Reset",
		"QueueWaitMs": 20.0, "FirstTokenMs": 100.0, "WholeMs": 1000.0, "Recomputed": 7.0,
	} {
		assert.Equal(t, want, line[key], key)
	}
	metrics := telemetry.NewMetrics()
	metrics.Record(failed)
	output.Reset()
	metrics.Write(&output)
	for _, want := range []string{
		`rosemaryspar_requests_total{account="desk",service="drafts",class="Short",outcome="Reset"} 1`,
		`rosemaryspar_recomputed_tokens_total{account="desk",service="drafts",class="Short"} 7`,
		`rosemaryspar_retries_total{account="desk",service="drafts",class="Short"} 1`,
		`rosemaryspar_hedges_total{account="desk",service="drafts",class="Short"} 1`,
		`rosemaryspar_close_delimited_answers_total{account="desk",service="drafts",class="Short"} 1`,
		"rosemaryspar_queue_wait_seconds_bucket", "rosemaryspar_token_gap_seconds_bucket",
	} {
		assert.Contains(t, output.String(), want)
	}
}

// Guards against metrics of opaque calls without the service and the kind of the call, so that all kinds share one histogram,
// and against series named by what a caller sent.
func TestOpaqueCallIsCountedByItsServiceAndKind(t *testing.T) {
	metrics := telemetry.NewMetrics()
	metrics.Record(request.Result{
		Exchange: request.Exchange{
			Request: call.Request{ID: "r1", Account: "desk", Opaque: call.Opaque{Path: "/a/secret"}},
			Route:   route.Route{Name: "a", Kind: route.KindNonIdempotent},
			Target:  directory.Server{ID: "i-1", Service: "orders"},
		},
		Duration: time.Second, TimeToFirstToken: 100 * time.Millisecond, LongestGap: 30 * time.Millisecond,
	})
	metrics.Count("server_orders_total", telemetry.Label{Name: "service", Value: "model"}, telemetry.Label{Name: "result", Value: "Granted"})
	var output bytes.Buffer
	metrics.Write(&output)
	const labels = `{account="desk",service="orders",class="NonIdempotent"`
	for _, want := range []string{
		"rosemaryspar_requests_total" + labels + `,outcome="Answered"} 1`,
		"rosemaryspar_whole_seconds_count" + labels + "} 1",
		"rosemaryspar_first_token_seconds_count" + labels + "} 1",
		"rosemaryspar_longest_gap_seconds_count" + labels + "} 1",
		`rosemaryspar_server_orders_total{service="model",result="Granted"} 1`,
	} {
		assert.Contains(t, output.String(), want)
	}
	assert.NotContains(t, output.String(), "secret")
}
