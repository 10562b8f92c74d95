package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rosemaryspar/rosemaryspar/internal/decide/call"
	"github.com/rosemaryspar/rosemaryspar/internal/decide/directory"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// Guards against failures that are lost when several calls fail at once, and against series that stay, so that their number grows with
// each server that comes and goes.
func TestServerFailuresAreCountedWhileTheServerIsListed(t *testing.T) {
	metrics := telemetry.NewMetrics()
	failures := telemetry.NewServerFailures(metrics)
	scrape := func() string {
		var output bytes.Buffer
		metrics.Write(&output)
		return output.String()
	}
	server := func(number int) directory.Server {
		return directory.Server{ID: fmt.Sprint("i-", number), Service: "engines"}
	}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				failures.RecordFailure(server(0), call.CauseMalformed)
			}
		})
	}
	group.Wait()
	failures.RecordFailure(server(0), call.CauseReset)
	assert.Contains(t, scrape(), `rosemaryspar_server_failures_total{service="engines",server="i-0",kind="Malformed"} 800`+"\n"+
		`rosemaryspar_server_failures_total{service="engines",server="i-0",kind="Reset"} 1`+"\n")

	for number := range 1000 {
		failures.RecordFailure(server(number), call.CauseConnect)
		failures.Retain(map[string]directory.Server{"i-0": server(0), server(number).ID: server(number)})
	}
	assert.Equal(t, 4, strings.Count(scrape(), "rosemaryspar_server_failures_total"), "three of i-0 and one of the last server")
	assert.Contains(t, scrape(), `server="i-0",kind="Malformed"} 800`, "the counts of a listed server stay")

	failures.Retain(nil)
	assert.NotContains(t, scrape(), "rosemaryspar_server_failures_total")
}
