package main_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rosemaryspar/rosemaryspar/internal/command/cli"
	"github.com/rosemaryspar/rosemaryspar/internal/wire/explain"
)

// Guards against a command that does not reach a running entry, or that says something else than what the entry decides.
func TestExplainAsksARunningEntry(t *testing.T) {
	deployment := newDeployment(t, 0)
	ask := func(arguments ...string) (int, string, string) {
		var output, errors bytes.Buffer
		all := append([]string{"explain", "--address", deployment.readyAddresses[0], "--host", "soak.example"}, arguments...)
		code := cli.Main(t.Context(), all, cli.Streams{Output: &output, Errors: &errors})
		return code, output.String(), errors.String()
	}
	require.Eventually(t, func() bool {
		_, output, _ := ask("--path", "/stock/x", "--account", "desk", "--output", "json")
		var reply explain.Reply
		return json.Unmarshal([]byte(output), &reply) == nil && reply.Admitted && reply.Route == "stock" && len(reply.Candidates) == 4 && reply.Chosen != ""
	}, 20*time.Second, 50*time.Millisecond, "the entry knows the configuration and the servers")
	code, output, _ := ask("--path", "/stream/x", "--account", "desk", "--tokens", "100,50", "--prompt", "a:50,b:50", "--time-limit", "2s")
	assert.Zero(t, code)
	for _, text := range []string{"stream", "desk", "admitted", "SERVER", "not known, so the number of calls decides"} {
		assert.Contains(t, output, text)
	}
	assert.NotContains(t, scrape(t, deployment.readyAddresses[0]), "rosemaryspar_server_choices_total", "an explanation counts as no call")
	code, _, failure := ask("--path", "/stock/x", "--account", "nobody")
	assert.NotZero(t, code)
	assert.Contains(t, failure, "Account: no client account has the name nobody")
	code, _, failure = ask("--path", "/stock/x", "--tokens", "many")
	assert.Equal(t, cli.ExitUsage, code)
	assert.Contains(t, failure, "Tokens:")
	code, output, _ = ask("--path", "/unknown/x", "--account", "desk")
	assert.Zero(t, code)
	assert.True(t, strings.Contains(output, "refused, UnknownRoute") || strings.Contains(output, "refused, StoreOut"), output)
}
