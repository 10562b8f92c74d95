package main_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a running entry whose metrics do not tell the calls by client account, service and kind, or lack its state:
// the ages of what it knows, its roles, the live entries and the dropped log lines.
func TestMetricsOfARunningEntry(t *testing.T) {
	deployment := newDeployment(t, 0)
	require.Eventually(t, func() bool {
		for caller := range 3 { // one call of each kind
			deployment.call(caller, 0)
		}
		return deployment.served.Load() >= 9 && strings.Contains(scrape(t, deployment.readyAddresses[0]), "rosemaryspar_entries_live 4")
	}, 20*time.Second, 20*time.Millisecond, "the entry serves and knows the others")
	text := scrape(t, deployment.readyAddresses[0])
	for _, kind := range []string{"NonIdempotent", "Idempotent", "Stream"} {
		assert.Contains(t, text, `rosemaryspar_requests_total{account="desk",service="s",class="`+kind+`",outcome="Answered"}`)
		assert.Contains(t, text, `rosemaryspar_whole_seconds_count{account="desk",service="s",class="`+kind+`"}`)
	}
	for _, name := range []string{"config_version", "config_age_seconds", "servers_age_seconds", "is_leader", "is_aggregator"} {
		assert.Contains(t, text, "rosemaryspar_"+name+" ")
	}
	assert.Contains(t, text, "rosemaryspar_servers_listed 4")
	assert.Contains(t, text, "rosemaryspar_log_lines_dropped 0")
}

// scrape returns the metrics of an entry, empty if it does not answer.
func scrape(t *testing.T, address string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/metrics", nil)
	require.NoError(t, err)
	_, text, err := roundTrip(request)
	if err != nil {
		return ""
	}
	return text
}
