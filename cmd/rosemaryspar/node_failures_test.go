package main_test

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/fake/platform"
	"github.com/rosemaryspar/rosemaryspar/internal/process/telemetry"
)

// Guards against running entries whose log does not tell which server wrote garbage into a stream and where the stream was resumed, whose
// metric of failures by server does not agree with the log, or keeps the series of a server that is no longer listed. The test uses real time,
// since the entries are separate processes.
func TestGarbageIsTracedToItsServer(t *testing.T) {
	deployment := newDeployment(t, 0)
	deployment.awaitServing(0)
	deployment.setRunners((*platform.Runner).SetGarbling, true)
	var resumed telemetry.LoggedCall
	require.Eventually(t, func() bool {
		for range 10 {
			deployment.call(2, 0)
		}
		for _, line := range deployment.processes[0].Lines() {
			if strings.Contains(line, "MalformedUnknown") && strings.Contains(line, "deliver Resumed") && strings.Contains(line, `"Outcome":"Answered"`) {
				resumed = findCall(t, line)
				t.Log(line)
				return true
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond, "no stream was resumed after garbage")
	var explained strings.Builder
	resumed.Explain(&explained)
	t.Log(explained.String())
	assert.Regexp(t, `i-\d failed \(Malformed\); the server may have run the call`, explained.String())
	assert.Regexp(t, `resumed the stream at i-\d (after event "\d+"|before the first event)`, explained.String())

	failures := map[string]int{}
	require.Eventually(t, func() bool {
		failures = loggedMalformed(t, deployment.processes[0].Lines())
		return assert.ObjectsAreEqual(failures, malformedByServer(t, deployment.readyAddresses[0]))
	}, 5*time.Second, 20*time.Millisecond, "the log has %v", failures)

	index := slices.IndexFunc(deployment.runners, func(runner *platform.Runner) bool { return failures[runner.ID()] > 0 })
	require.GreaterOrEqual(t, index, 0)
	runner := deployment.runners[index]
	deployment.unregister(runner)
	runner.Crash()
	require.Eventually(t, func() bool {
		return !strings.Contains(scrape(t, deployment.readyAddresses[0]), fmt.Sprintf("server=%q", runner.ID()))
	}, 8*time.Second, 50*time.Millisecond, "the series of a server that left stay")
}

// findCall returns the call of a line of the log.
func findCall(t *testing.T, line string) telemetry.LoggedCall {
	t.Helper()
	id := regexp.MustCompile(`"RequestID":"([^"]*)"`).FindStringSubmatch(line)
	require.NotNil(t, id, line)
	found, err := telemetry.FindLoggedCalls(strings.NewReader(line), id[1])
	require.NoError(t, err)
	require.Len(t, found, 1, line)
	return found[0]
}

// loggedMalformed returns the failures of the kind Malformed in the log of an entry, by server.
func loggedMalformed(t *testing.T, lines []string) map[string]int {
	t.Helper()
	failures := map[string]int{}
	for _, line := range lines {
		if !strings.Contains(line, `"call ended"`) {
			continue
		}
		for _, decision := range findCall(t, line).Decisions {
			if server, ok := strings.CutPrefix(decision, "deliver MalformedUnknown "); ok {
				failures[strings.Fields(server)[0]]++
			}
		}
	}
	return failures
}

// malformedByServer returns the failures of the kind Malformed that an entry counted, by server.
func malformedByServer(t *testing.T, address string) map[string]int {
	t.Helper()
	series := regexp.MustCompile(`rosemaryspar_server_failures_total\{service="s",server="([^"]+)",kind="Malformed"\} (\d+)`)
	counted := map[string]int{}
	for _, match := range series.FindAllStringSubmatch(scrape(t, address), -1) {
		count, err := strconv.Atoi(match[2])
		require.NoError(t, err)
		counted[match[1]] = count
	}
	return counted
}
